//! Models of the platform's log, tools, machine list and weight store, without I/O.
