//! Wire types of the platform's published interfaces: log, engines, tools, machine list, weight store.
