//! Few nodes of a large fleet read the log's streams; the others hear of the news from them.
//!
//! A stream that every node reads itself costs the log nodes times workers: that holds for a hundred
//! nodes and not for a thousand. [`roles`] decides who reads, [`catalog`] which workers of thousands a
//! zone uses, and [`published`] what a listener that knows an earlier state of those has to hear.

pub mod catalog;
pub mod published;
pub mod roles;
