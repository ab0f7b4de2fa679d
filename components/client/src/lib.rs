//! HTTP clients of the systems outside: engines, services, configuration, instance list.
