//! hemlockfall-moves: see docs/design.md.
