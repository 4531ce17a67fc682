//! The entry daemon: callers' interface, dispatch and endpoint announcements.
