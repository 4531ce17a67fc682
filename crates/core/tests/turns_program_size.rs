//! Memory of programs whose turns are settled.

mod resident;

use gypsumglade_core::turns::Turns;
use gypsumglade_core::wire::turn::command::Body;
use gypsumglade_core::wire::turn::{Command, Reserve, Settle};
use resident::resident_bytes;

/// Number of programs that a large deployment sees in the ten minutes for which they are
/// remembered.
const PROGRAMS: usize = 17_000;
/// Limit on the memory of a settled program, in bytes.
const MAX_PROGRAM_BYTES: u64 = 300;

/// Settled programs must not hold memory that only a turn in flight needs.
#[test]
fn memory_of_settled_programs() {
    // Must be the only test of this file: concurrent tests would add to the memory measured.
    let before = resident_bytes();
    let mut state = Turns::default();
    for number in 0..PROGRAMS {
        let (turn, program) = (format!("{number:036x}"), format!("{number:032x}"));
        let ask = Reserve {
            turn: turn.clone(),
            program: program.clone(),
            most: 1,
            now_ms: 1,
            ..Reserve::default()
        };
        state.apply(&Command { body: Some(Body::Reserve(ask)) });
        let settle = Settle { turn, program, tokens: 1, now_ms: 1, ..Settle::default() };
        state.apply(&Command { body: Some(Body::Settle(settle)) });
    }
    let each = (resident_bytes() - before) / PROGRAMS as u64;
    println!("a program takes {each} bytes");
    assert!(each <= MAX_PROGRAM_BYTES, "a program takes {each} bytes");
}
