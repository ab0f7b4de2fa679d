//! Connections between instances.
