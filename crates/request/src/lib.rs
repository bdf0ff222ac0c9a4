//! hemlockfall-request: see docs/design.md.
