//! Settings of a process, read from YAML and checked as a whole.
