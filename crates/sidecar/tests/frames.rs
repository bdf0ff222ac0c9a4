//! Encoding and decoding of the frames on links, also of incomplete and damaged ones.

use hemlockfall_http::http::Header;
use hemlockfall_sidecar::edge::frame;
use hemlockfall_sidecar::edge::frame::Frame;
use hemlockfall_sidecar::edge::frame::FrameError;
use hemlockfall_sidecar::edge::frame::Text;
use hemlockfall_sidecar::edge::frame::TextReader;
use hemlockfall_sidecar::edge::frame::TextWriter;
use hemlockfall_sidecar::model::ConfigDelta;
use quickcheck::quickcheck;

mod common;

fn encoded(frame: &Frame) -> Vec<u8> {
    let mut bytes = Vec::new();
    frame::encode(frame, &mut bytes);
    bytes
}

/// Guards against texts that the receiver decodes to something other than the sender meant.
#[test]
fn texts_are_the_same_at_both_ends() {
    let mut writer = TextWriter::default();
    let mut reader = TextReader::default();
    let texts = ["desk", "feed", "desk", "v2", "feed", "desk"];

    let decoded: Vec<String> = texts
        .iter()
        .map(|text| writer.encode(text))
        .map(|text| reader.decode(text).expect("the index exists").to_string())
        .collect();

    assert_eq!(decoded, texts);
    assert_eq!(writer.encode("desk"), Text::Index(0));
}

/// Guards against a link that stays open although its ends disagree on the kept texts.
#[test]
fn an_unknown_text_is_an_error() {
    assert_eq!(
        TextReader::default().decode(Text::Index(3)),
        Err(FrameError::UnknownText)
    );
}

/// Guards against memory use that grows with the number of different texts, and against texts
/// that are lost once the capacity is reached.
#[test]
fn texts_beyond_the_capacity_still_arrive() {
    let mut writer = TextWriter::default();
    let mut reader = TextReader::default();
    for number in 0..1000 {
        let headers = [Header::new(format!("x-{number}"), "v")];
        let decoded = reader
            .headers(writer.headers(&headers))
            .expect("every index was assigned");
        assert_eq!(decoded, headers);
    }
}

/// Guards against a large configuration that is altered by compression or sent uncompressed.
#[test]
fn large_frames_are_compressed_and_restored() {
    let routes = (0..300).map(|n| common::route(&format!("r{n}"), "/x/", &[("desk", 1)]));
    let config = common::config(7, routes.collect());
    let delta: ConfigDelta = config.delta_from(&common::config(1, Vec::new()));
    let frame = Frame::ConfigDelta(Box::new(delta));

    let bytes = encoded(&frame);

    assert!(bytes.len() < 8_000, "{} bytes", bytes.len());
    assert_eq!(frame::decode(&bytes), Ok(Some((frame, bytes.len()))));
}

/// Guards against frames that are decoded before they are complete.
#[test]
fn an_incomplete_frame_waits_for_the_rest() {
    let bytes = encoded(&Frame::Cancel { call: 77 });

    for length in 0..bytes.len() {
        assert_eq!(frame::decode(&bytes[..length]), Ok(None));
    }
}

/// Guards against a few bytes from a peer that make a node allocate 70 MB, which small VMs do not
/// have.
#[test]
fn a_frame_with_a_huge_decompressed_size_is_refused() {
    let mut bytes = (0b1100_u32 | 1 << 31).to_le_bytes().to_vec();
    bytes.extend_from_slice(&70_000_000_u32.to_le_bytes());
    bytes.extend_from_slice(&[0x1f; 8]);

    assert_eq!(frame::decode(&bytes), Err(FrameError::TooLarge));
}

quickcheck! {
    /// Guards against a damaged frame that causes a panic or consumes bytes of the next frame.
    fn damaged_frames_are_bounded(place: usize, value: u8, routes: u8) -> bool {
        let routes = (0..routes).map(|n| common::route(&format!("r{n}"), "/x/", &[("desk", 1)]));
        let config = common::config(7, routes.collect());
        let delta: ConfigDelta = config.delta_from(&common::config(1, Vec::new()));
        let mut bytes = encoded(&Frame::ConfigDelta(Box::new(delta)));
        let place = place % bytes.len();
        bytes[place] = value;
        match frame::decode(&bytes) {
            Ok(Some((_, used))) => used <= bytes.len(),
            Ok(None) | Err(_) => true,
        }
    }

    /// Guards against a frame that is decoded differently when it arrives in pieces.
    fn split_frames_equal_whole_ones(cut: usize, call: u64) -> bool {
        let bytes = encoded(&Frame::Cancel { call });
        let cut = cut % bytes.len();
        frame::decode(&bytes[..cut]) == Ok(None)
            && frame::decode(&bytes) == Ok(Some((Frame::Cancel { call }, bytes.len())))
    }

    /// Guards against bytes from a peer that cause a panic.
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) -> bool {
        let _ = frame::decode(&bytes);
        let mut framed = (u32::try_from(bytes.len()).unwrap_or(0) | 1 << 31).to_le_bytes().to_vec();
        framed.extend_from_slice(&bytes);
        let _ = frame::decode(&framed);
        true
    }
}
