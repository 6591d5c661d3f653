//! Operator commands as a library.
