//! The operators' listener: status, bundles and the dump of a process's state.
