//! The store daemon: control and program groups on durable replicas.
