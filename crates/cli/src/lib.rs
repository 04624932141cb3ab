//! The operators' verbs of the elderworks command, as a library.

pub mod verbs;
