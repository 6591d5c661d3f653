//! Types without input or output: what the daemon reasons about.

pub mod configuration;
pub mod document;
pub mod exchange;
pub mod fields;
pub mod in_force;
pub mod member;
pub mod membership;
pub mod names;
pub mod resource;
pub mod statement;
pub mod validation;
pub mod verdict;
