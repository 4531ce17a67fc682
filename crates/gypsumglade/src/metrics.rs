//! Metrics of a process and their Prometheus page.
