//! The whole system in one process with stand-ins, running one real program.
