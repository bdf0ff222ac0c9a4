//! The hemlockfall node and command line.
