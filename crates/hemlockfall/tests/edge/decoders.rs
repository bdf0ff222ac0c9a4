//! Decoders of links, datagrams, settings and catalogue files, with valid, arbitrary and forged
//! input.

use std::fmt::Debug;

use hemlockfall::edge::frame;
use hemlockfall::edge::frame::Assembler;
use hemlockfall::edge::frame::FRAGMENT_BYTES;
use hemlockfall::edge::frame::OPEN_LIMIT_BYTES;
use hemlockfall::edge::frame::Parsed;
use hemlockfall::edge::http::Header;
use hemlockfall::edge::http::HttpAnswer;
use hemlockfall::edge::http::HttpRequest;
use hemlockfall::wire::AnswerFrame;
use hemlockfall::wire::AttemptEnd;
use hemlockfall::wire::CallFrame;
use hemlockfall::wire::CallKey;
use hemlockfall::wire::ControlMessage;
use hemlockfall::wire::LinkMessage;
use hemlockfall_core::catalogue::Class;
use hemlockfall_core::catalogue::file::CatalogueFile;
use hemlockfall_core::codec;
use hemlockfall_core::errors::Error;
use hemlockfall_core::settings::Settings;
use hemlockfall_request::admission::FenceAnswer;
use hemlockfall_request::outcome::Reason;
use hemlockfall_request::seen::AttemptId;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use crate::support::check;

/// Parses a stream in pieces and returns the messages in the order of their completion.
fn assemble(input: &[u8], piece_bytes: usize) -> Result<Vec<Vec<u8>>, Error> {
    let mut assembler = Assembler::default();
    let mut buffer = Vec::new();
    let mut messages = Vec::new();
    for piece in input.chunks(piece_bytes.max(1)) {
        buffer.extend_from_slice(piece);
        loop {
            match assembler.parse(&buffer)? {
                Parsed::Incomplete => break,
                Parsed::Fragment { used_bytes } => drop(buffer.drain(..used_bytes)),
                Parsed::Message {
                    used_bytes,
                    content,
                } => {
                    buffer.drain(..used_bytes);
                    messages.push(content);
                }
            }
        }
        assert!(buffer.len() <= FRAGMENT_BYTES + frame::HEADER_BYTES + piece.len());
    }
    Ok(messages)
}

/// Guards against mixing up messages whose fragments are interleaved on one link.
#[test]
fn interleaved_fragments_become_the_sent_messages() {
    fn property(contents: Vec<Vec<u8>>, piece_bytes: u8) -> bool {
        let mut out = Vec::new();
        let rounds = contents.iter().map(Vec::len).max().unwrap_or(0);
        for round in 0..rounds {
            for (stream, content) in (1..).zip(&contents) {
                if let Some(byte) = content.get(round) {
                    let last = round + 1 == content.len();
                    frame::write_fragment(&mut out, stream, &[*byte], last);
                }
            }
        }

        let messages = assemble(&out, usize::from(piece_bytes)).expect("the stream is valid");

        let mut expected: Vec<&Vec<u8>> = contents.iter().filter(|c| !c.is_empty()).collect();
        expected.sort_by_key(|content| content.len());
        messages.iter().eq(expected)
    }

    check(21, property as fn(Vec<Vec<u8>>, u8) -> bool);
}

/// Guards against panics and unbounded buffers on garbage, with and without a valid header.
#[test]
fn arbitrary_bytes_on_a_link_do_no_harm() {
    fn property(garbage: Vec<u8>, piece_bytes: u8, flags: u8) -> bool {
        let mut framed = Vec::new();
        frame::write_fragment(&mut framed, 1, &garbage, false);
        framed[8] = flags;
        framed.extend_from_slice(&garbage);

        let plain = assemble(&garbage, usize::from(piece_bytes));
        let framed = assemble(&framed, usize::from(piece_bytes));

        let _ = plain;
        flags <= 1 || framed.is_err()
    }

    check(22, property as fn(Vec<u8>, u8, u8) -> bool);
}

/// Guards against a peer that exhausts the memory with messages that it never finishes.
#[test]
fn unfinished_messages_of_a_link_are_bounded() {
    let content = vec![0; FRAGMENT_BYTES];
    let mut assembler = Assembler::default();
    let mut accepted_bytes = 0;
    let mut result = Ok(());
    for stream in (0..100).cycle().take(4_000) {
        let mut fragment = Vec::new();
        frame::write_fragment(&mut fragment, stream, &content, false);

        match assembler.parse(&fragment) {
            Ok(_) => accepted_bytes += FRAGMENT_BYTES,
            Err(error) => {
                result = Err(error);
                break;
            }
        }
    }

    assert!(matches!(result, Err(Error::TooLarge { .. })), "{result:?}");
    assert_eq!(accepted_bytes, OPEN_LIMIT_BYTES);
    assert_eq!(assembler.open_bytes(), OPEN_LIMIT_BYTES);
}

/// Guards against a total of unfinished bytes that grows although the messages are finished.
#[test]
fn finished_messages_free_their_share_of_the_bound() {
    let content = vec![0; FRAGMENT_BYTES];
    let mut assembler = Assembler::default();
    for stream in 0..2_000 {
        let mut out = Vec::new();
        frame::write_fragment(&mut out, stream, &content, false);
        let Ok(Parsed::Fragment { used_bytes }) = assembler.parse(&out) else {
            panic!("the first fragment of stream {stream} is refused");
        };
        out.drain(..used_bytes);
        frame::write_fragment(&mut out, stream, &content, true);
        let parsed = assembler.parse(&out);

        assert!(matches!(parsed, Ok(Parsed::Message { .. })), "{stream}");
    }
    assert_eq!(assembler.open_bytes(), 0);
}

/// Guards against too many unfinished messages and forged lengths.
#[test]
fn forged_fragments_are_refused() {
    let mut many = Vec::new();
    for stream in 0..300 {
        frame::write_fragment(&mut many, stream, b"a", false);
    }
    let mut long = Vec::new();
    frame::write_fragment(&mut long, 1, b"a", true);
    long[..4].copy_from_slice(&u32::MAX.to_le_bytes());

    assert!(assemble(&many, 64).is_err());
    assert!(assemble(&long, 64).is_err());
}

/// Returns whether the bytes can be decoded, and asserts that the message survives encoding.
fn survives_round_trip<T: Debug>(
    bytes: &[u8],
    decode: fn(&[u8]) -> Result<T, Error>,
    encode: fn(&T) -> Result<Vec<u8>, Error>,
) -> bool {
    let Ok(message) = decode(bytes) else {
        return false;
    };
    let encoded = encode(&message).expect("a decoded message can be encoded");
    let again = decode(&encoded).expect("an encoded message is valid");
    assert_eq!(format!("{message:?}"), format!("{again:?}"));
    true
}

/// Guards against panics of the message decoders, and messages that change when they are encoded
/// again. Small numbers make valid discriminants and lengths likely, and only one prefix of the
/// bytes can be a complete message.
#[test]
fn decoded_messages_survive_a_round_trip() {
    let mut decoded = 0;
    for seed in 0..20_000_u64 {
        let mut generator = Gen::from_size_and_seed(64, seed);
        let mut bytes = Vec::<u8>::arbitrary(&mut generator);
        for byte in &mut bytes {
            *byte %= 12;
        }
        bytes.insert(0, u8::from(seed % 8 == 0));
        for length in 0..bytes.len() {
            let prefix = &bytes[..length];
            let link = survives_round_trip(prefix, LinkMessage::decode, LinkMessage::encode);
            let control =
                survives_round_trip(prefix, ControlMessage::decode, ControlMessage::encode);
            decoded += u32::from(link) + u32::from(control);
        }
    }
    assert!(decoded > 500, "only {decoded} decoded");
}

fn call(body: Vec<u8>) -> LinkMessage {
    let request = HttpRequest {
        method: "POST".into(),
        target: "/orders?id=7".into(),
        headers: vec![Header::new("host", "order-desk")],
        body,
    };
    LinkMessage::Call(Box::new(CallFrame {
        attempt_id: AttemptId::default(),
        incarnation: 7,
        time_left_ms: 500,
        class: Class::Urgent,
        service: "order-desk".into(),
        route: "orders".into(),
        version: "v1".into(),
        max_body_bytes: 1_000,
        is_retry: true,
        key: Some(CallKey {
            text: "key".into(),
            is_generated: false,
            voided: vec![AttemptId::default()],
            keepers: vec!["vm-2".into()],
        }),
        body_digest: codec::digest(&request.body),
        request,
    }))
}

/// Guards against loss of content in the messages of the request path, compressed or not.
#[test]
fn messages_of_the_request_path_survive_a_round_trip() {
    let attempt_id = AttemptId::default();
    let answer = HttpAnswer::new(200, vec![Header::new("a", "b")], vec![7; 3_000]);
    let refused = AttemptEnd::Refused {
        reason: Reason::QueueFull,
        retry_after_ms: Some(20),
    };
    let end = |end| LinkMessage::Answer(Box::new(AnswerFrame { attempt_id, end }));
    let messages = [
        call(b"{}".to_vec()),
        call(vec![0; 100_000]),
        end(AttemptEnd::Answered(answer)),
        end(refused),
        LinkMessage::Cancel { attempt_id },
        LinkMessage::Fence {
            attempt_id,
            incarnation: 9,
        },
        LinkMessage::FenceAnswer {
            attempt_id,
            answer: FenceAnswer::CannotKnow,
        },
    ];
    for message in messages {
        let encoded = message.encode().expect("the message can be encoded");
        let decoded = LinkMessage::decode(&encoded).expect("the message is valid");

        assert_eq!(format!("{message:?}"), format!("{decoded:?}"));
        for length in (0..encoded.len()).step_by(7) {
            assert!(LinkMessage::decode(&encoded[..length]).is_err(), "{length}");
        }
    }
}

/// Guards against memory reserved for a forged size of a compressed message.
#[test]
fn forged_sizes_of_compressed_messages_are_refused() {
    const LIMIT_BYTES: u32 = 16 * 1024 * 1024;
    let encoded = codec::encode(&vec![7_u8; 100_000]).expect("the value can be encoded");
    for size in [0, 1, 99_999, 100_002, LIMIT_BYTES, u32::MAX] {
        let mut forged = encoded.clone();
        forged[1..5].copy_from_slice(&size.to_le_bytes());

        let decoded = codec::decode::<Vec<u8>>(&forged, LIMIT_BYTES as usize);

        assert!(decoded.is_err(), "{size}");
    }
    assert!(codec::decode::<Vec<u8>>(&encoded, LIMIT_BYTES as usize).is_ok());
}

/// Guards against panics on arbitrary settings and catalogue files, and against errors without a
/// code.
#[test]
fn arbitrary_files_give_numbered_errors() {
    const FRAGMENTS: [&str; 15] = [
        "[node]\n",
        "[[service]]\n",
        "name = ",
        "\"a\"",
        "= 1\n",
        "[[service.route]]\n",
        "timeout_ms = -1\n",
        "[edge]\n",
        "\u{0}",
        "\r\n",
        "max_body_bytes = 99999999999999999999",
        "caller_address = \"x\"\n",
        "[service.limits]\n",
        "{",
        "]]",
    ];
    fn property(text: String, picks: Vec<u8>) -> bool {
        let mut built: String = picks
            .iter()
            .map(|pick| FRAGMENTS[usize::from(*pick) % FRAGMENTS.len()])
            .collect();
        built.push_str(&text);
        [text, built].iter().all(|text| {
            let settings = Settings::parse("test.toml", text).map(|_| ());
            let catalogue = CatalogueFile::parse("test.toml", text).map(|_| ());
            [settings, catalogue]
                .into_iter()
                .filter_map(Result::err)
                .all(|error| (1000..8000).contains(&error.code().0))
        })
    }

    check(23, property as fn(String, Vec<u8>) -> bool);
}
