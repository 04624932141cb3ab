//! Library part of the `elderworks` command: the operator verbs and `explain-request`.

pub mod request_log;
pub mod verbs;
