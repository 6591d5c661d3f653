//! Load, experiments and history checks.
