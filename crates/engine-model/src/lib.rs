//! Model of a batching inference engine with a prefix cache, on a virtual clock.
