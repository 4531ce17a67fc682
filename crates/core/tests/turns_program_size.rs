//! What a program's budget takes once its turns are settled.

mod resident;

use gypsumglade_core::turns::Turns;
use gypsumglade_core::wire::turn::command::Body;
use gypsumglade_core::wire::turn::{Command, Reserve, Settle};
use resident::resident_bytes;

/// Programs of a test: as many as a grown deployment sees in the ten minutes that they are remembered.
const PROGRAMS: usize = 17_000;
/// Most memory of a program whose turns are settled.
const MAX_PROGRAM_BYTES: u64 = 300;

/// Guards against a state that holds for each program of ten minutes what only a turn under way needs.
#[test]
fn memory_of_settled_programs() {
    // The only test of this file: what runs beside it would count.
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
