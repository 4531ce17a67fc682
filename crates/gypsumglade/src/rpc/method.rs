//! The closed set of calls between processes.

/// A call that one process may make to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Entry to store: a request to a program group.
    Program,
    /// Entry or operator to store: a command or question to the control group.
    Control,
    /// Entry to store or entry: renews the configuration lease.
    Lease,
    /// Store to entry: frees an engine's memory of an ended program.
    Release,
    /// Store to entry: cancels a dispatch of a program that ended.
    Cancel,
    /// Store to store: what is known of a request that crashes endpoints.
    Score,
    /// Store to entry: the entry VMs as membership sees them.
    Members,
    /// Entry to entry: an endpoint's announcement.
    Announce,
    /// Any process to a store: introduces itself and asks for the others.
    Hello,
    /// Entry to store: asks for the endpoints that announced themselves.
    Endpoints,
    /// Entry to store: a request to the turn group.
    Turn,
    /// Entry to store: puts texts of turns on its disk.
    PutTexts,
    /// Any process to a store: asks for texts of turns.
    Texts,
    /// Store to store: has it fetch texts that others hold.
    CopyTexts,
    /// Store to store: asks which turns are still kept.
    KeptTurns,
}

impl Method {
    /// Returns the name on the wire.
    pub const fn name(self) -> &'static str {
        match self {
            Method::Program => "program",
            Method::Control => "control",
            Method::Lease => "lease",
            Method::Release => "release",
            Method::Cancel => "cancel",
            Method::Score => "score",
            Method::Members => "members",
            Method::Announce => "announce",
            Method::Hello => "hello",
            Method::Endpoints => "endpoints",
            Method::Turn => "turn",
            Method::PutTexts => "put_texts",
            Method::Texts => "texts",
            Method::CopyTexts => "copy_texts",
            Method::KeptTurns => "kept_turns",
        }
    }
}
