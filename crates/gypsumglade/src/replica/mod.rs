//! Drives replicated logs: disk, timers and messages round the core.
