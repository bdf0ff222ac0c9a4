//! hemlockfall-store: see docs/design.md.
