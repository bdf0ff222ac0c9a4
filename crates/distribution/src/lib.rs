//! hemlockfall-distribution: see docs/design.md.
