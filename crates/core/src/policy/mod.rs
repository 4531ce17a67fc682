//! Decisions of the data path: where a call runs, whether it is let in, what is kept or retried.
