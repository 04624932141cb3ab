//! The operators' verbs of the elderworks command, as a library.

pub mod request_log;
pub mod verbs;
