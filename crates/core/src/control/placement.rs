//! Where program groups live: the replicated record of it.
