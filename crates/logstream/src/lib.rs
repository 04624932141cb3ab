//! Ordered reading and grouped appending on one stream of the platform's log, without I/O.
