//! Tests of the buffer of a connection's input.

use hemlockfall_sidecar::edge::input::InputBuffer;
use quickcheck::quickcheck;

quickcheck! {
    /// Load: input in parts of any size, used in steps of any size. Guards against bytes that are
    /// lost, repeated or reordered, and against used input that is kept.
    fn the_unused_input_is_kept_in_order(parts: Vec<(Vec<u8>, u8)>) -> bool {
        let mut buffer = InputBuffer::default();
        let mut expected: Vec<u8> = Vec::new();
        parts.into_iter().all(|(part, used)| {
            buffer.end_mut().extend_from_slice(&part);
            expected.extend_from_slice(&part);

            let used = usize::from(used).min(expected.len());
            buffer.consume(used);
            expected.drain(..used);

            buffer.unused() == expected
                && buffer.len() == expected.len()
                && buffer.end_mut().len() <= 2 * expected.len()
        })
    }
}

/// Guards against the memory of a large message that stays after it.
#[test]
fn a_large_input_is_released_once_it_is_used() {
    let mut buffer = InputBuffer::default();
    buffer.end_mut().resize(1_000_000, b'a');

    buffer.consume(1_000_000);

    assert!(buffer.is_empty());
    assert_eq!(buffer.held_bytes(), 0);
}
