//! hemlockfall-membership: see docs/design.md.
