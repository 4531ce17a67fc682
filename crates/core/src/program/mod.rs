//! State machine of a program group: order, history, budget, journal, ends.
