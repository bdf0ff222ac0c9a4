//! HTTP readers with arbitrary bytes, arbitrary splits and input at the limits.

use hemlockfall::edge::http1::HttpError;
use hemlockfall::edge::http1::HttpLimits;
use hemlockfall::edge::http1::request::RequestReader;
use hemlockfall::edge::http1::response::ResponseReader;

use crate::support::check;

const LIMITS: HttpLimits = HttpLimits {
    max_head_bytes: 512,
    max_body_bytes: 128,
};

/// Result of a reader: headers and body of each complete message, and the final error.
type Outcome = (Vec<(String, Vec<u8>)>, Option<HttpError>);

/// Reads requests from pieces, and asserts that the unused input stays within the limits.
fn read_requests(pieces: &[&[u8]]) -> Outcome {
    let mut reader = RequestReader::new(LIMITS);
    let mut input = Vec::new();
    let mut read = Vec::new();
    for piece in pieces {
        input.extend_from_slice(piece);
        loop {
            match reader.push(&input) {
                Err(error) => return (read, Some(error)),
                Ok(step) => {
                    input.drain(..step.used_bytes);
                    let Some(whole) = step.request else { break };
                    assert!(whole.request.body.len() <= LIMITS.max_body_bytes);
                    read.push((format!("{:?}", whole.request.headers), whole.request.body));
                }
            }
        }
        assert!(input.len() <= LIMITS.max_head_bytes + 256 + piece.len());
    }
    (read, None)
}

fn read_response(pieces: &[&[u8]]) -> Outcome {
    let mut reader = ResponseReader::new("GET", LIMITS);
    let mut input = Vec::new();
    for piece in pieces {
        input.extend_from_slice(piece);
        match reader.push(&input) {
            Err(error) => return (Vec::new(), Some(error)),
            Ok((used_bytes, whole)) => {
                input.drain(..used_bytes);
                if let Some(whole) = whole {
                    let headers = format!("{:?}", whole.answer.headers);
                    return (vec![(headers, whole.answer.body)], None);
                }
            }
        }
    }
    (Vec::new(), None)
}

/// Splits input into pieces of the given lengths, and the rest into single bytes.
fn cut<'a>(input: &'a [u8], lengths: &[u8]) -> Vec<&'a [u8]> {
    let mut rest = input;
    let mut pieces = Vec::new();
    for length in lengths {
        let (piece, after) = rest.split_at(usize::from(*length % 40).min(rest.len()));
        pieces.push(piece);
        rest = after;
    }
    pieces.extend(rest.chunks(1));
    pieces
}

fn chunked(body: &[u8], chunk_bytes: usize) -> Vec<u8> {
    let mut out = Vec::new();
    for chunk in body.chunks(chunk_bytes) {
        out.extend_from_slice(format!("{:X};name=\"value\"\r\n", chunk.len()).as_bytes());
        out.extend_from_slice(chunk);
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(b"0\r\nchecksum: 1\r\n\r\n");
    out
}

fn message(start: &str, body: &[u8], is_chunked: bool) -> Vec<u8> {
    let framing = if is_chunked {
        "transfer-encoding: chunked".to_owned()
    } else {
        format!("content-length: {}", body.len())
    };
    let mut out = format!("{start}\r\nhost: order-desk\r\n{framing}\r\n\r\n").into_bytes();
    out.extend(if is_chunked {
        chunked(body, 7)
    } else {
        body.to_vec()
    });
    out
}

/// Guards against requests that are parsed differently when the network splits them.
#[test]
fn split_requests_equal_whole_ones() {
    fn property(bodies: Vec<(Vec<u8>, bool)>, lengths: Vec<u8>) -> bool {
        let input: Vec<u8> = bodies
            .iter()
            .flat_map(|(body, is_chunked)| message("POST /orders HTTP/1.1", body, *is_chunked))
            .collect();

        let whole = read_requests(&[&input]);
        let split = read_requests(&cut(&input, &lengths));

        let sent: Vec<&Vec<u8>> = bodies.iter().map(|(body, _)| body).collect();
        let read: Vec<&Vec<u8>> = whole.0.iter().map(|(_, body)| body).collect();
        whole == split && (whole.1.is_some() || sent == read)
    }

    check(11, property as fn(Vec<(Vec<u8>, bool)>, Vec<u8>) -> bool);
}

/// Guards against answers that are parsed differently when the network splits them.
#[test]
fn split_responses_equal_whole_ones() {
    fn property(body: Vec<u8>, is_chunked: bool, lengths: Vec<u8>) -> bool {
        let mut input = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n".to_vec();
        input.extend(message("HTTP/1.1 200 OK", &body, is_chunked));

        let whole = read_response(&[&input]);
        let split = read_response(&cut(&input, &lengths));

        whole == split && (whole.1.is_some() || whole.0[0].1 == body)
    }

    check(12, property as fn(Vec<u8>, bool, Vec<u8>) -> bool);
}

/// Guards against panics, endless loops and unbounded buffers on garbage. The garbage is also
/// spliced into a valid message, so that it reaches the body readers.
#[test]
fn arbitrary_bytes_are_read_within_limits() {
    fn property(body: Vec<u8>, garbage: Vec<u8>, at: u16, is_chunked: bool) -> bool {
        let mut request = message("POST /orders HTTP/1.1", &body, is_chunked);
        let mut response = message("HTTP/1.1 200 OK", &body, is_chunked);
        for input in [&mut request, &mut response] {
            let index = usize::from(at) % input.len();
            input.splice(index..index, garbage.iter().copied());
        }

        read_requests(&[&garbage]);
        read_response(&[&garbage]);
        read_requests(&cut(&request, &garbage));
        read_response(&cut(&response, &garbage));

        true
    }

    check(13, property as fn(Vec<u8>, Vec<u8>, u16, bool) -> bool);
}

/// Guards against a limit that depends on how the input is split.
#[test]
fn limits_hold_for_whole_and_split_input() {
    let pad = "a".repeat(600);
    let extension = "x".repeat(300);
    let start = "POST / HTTP/1.1\r\nhost: a\r\n";
    let chunked = format!("{start}transfer-encoding: chunked\r\n\r\n");
    let cases = [
        (format!("{start}x: {pad}\r\n\r\n"), HttpError::HeadTooLarge),
        (
            format!("{start}content-length: 129\r\n\r\n"),
            HttpError::BodyTooLarge,
        ),
        (
            format!("{start}content-length: 99999999999999999999999\r\n\r\n"),
            HttpError::BodyTooLarge,
        ),
        (format!("{chunked}81\r\n{pad}"), HttpError::BodyTooLarge),
        (
            format!("{chunked}ffffffffffffffff\r\n"),
            HttpError::BodyTooLarge,
        ),
        (
            format!("{chunked}40\r\n{}\r\n41\r\n{}\r\n", &pad[..64], &pad[..65]),
            HttpError::BodyTooLarge,
        ),
        (
            format!("{chunked}0\r\n{}", format!("t: {pad}\r\n").repeat(20)),
            HttpError::HeadTooLarge,
        ),
        (
            format!("{chunked}1;{extension}\r\na\r\n0\r\n\r\n"),
            HttpError::Malformed("a chunk size line is too long"),
        ),
    ];
    for (input, expected) in cases {
        let whole = read_requests(&[input.as_bytes()]);
        let split = read_requests(&cut(input.as_bytes(), &[]));

        assert_eq!(whole.1, Some(expected), "{input:.80}");
        assert_eq!(split.1, Some(expected), "{input:.80}");
    }
}

/// Guards against a truncated answer that is taken for a complete one, and against refusing an
/// answer that has no length and ends with its connection.
#[test]
fn unframed_response_needs_an_orderly_end() {
    let input = b"HTTP/1.1 200 OK\r\nx-a: b\r\n\r\npart";
    let strict = ResponseReader::new("GET", LIMITS).push(input).map(|_| ());
    let mut lenient = ResponseReader::new("GET", LIMITS).allow_unframed();
    let read = lenient.push(input).expect("the response is valid");

    let ended = lenient.finish_at_end().expect("the response has begun");

    assert!(strict.is_err());
    assert!(read.1.is_none());
    assert_eq!(ended.answer.body, b"part");
    assert!(!ended.keep_alive);
}

/// Guards against a head that breaks off and is taken for an empty answer when its connection ends.
#[test]
fn a_head_that_breaks_off_is_no_response() {
    let heads = [
        "HTTP/1.1 200 OK\r\nx-a: b\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\nx-a: b\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-a: b\r\n\r\n",
    ];
    for head in heads {
        for bytes in 0..head.len() {
            let mut reader = ResponseReader::new("GET", LIMITS).allow_unframed();

            let (_, read) = reader
                .push(&head.as_bytes()[..bytes])
                .expect("the head is valid so far");

            assert!(read.is_none(), "{bytes} bytes of {head:?}");
            assert!(
                reader.finish_at_end().is_none(),
                "{bytes} bytes of {head:?}"
            );
        }
    }
}

/// Guards against an answer with a length that is taken for complete when its connection ends
/// early.
#[test]
fn framed_response_is_incomplete_at_an_early_end() {
    let input = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart";
    let mut reader = ResponseReader::new("GET", LIMITS).allow_unframed();
    reader.push(input).expect("the response is valid");

    assert!(reader.finish_at_end().is_none());
}

/// Returns whether a response with a status line and header lines is refused.
fn is_refused(status_line: &str, header_lines: &str) -> bool {
    let text = format!("{status_line}\r\n{header_lines}content-length: 0\r\n\r\n");
    read_response(&[text.as_bytes()]).1.is_some()
}

/// Guards against a status line that is passed on although it is none: a target answered with status
/// 000, and its caller got that.
#[test]
fn invalid_status_lines_are_refused() {
    let lines = [
        "HTTP/1.1 000 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 -20 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 200 O\u{1}K",
        "HTTP/1.1 200 O\u{0}K",
        "HTTP/1.1 200 O\rK",
        "HTTP/1.2 200 OK",
        "HTTP/2.0 200 OK",
        "HTTQ/1.1 200 OK",
    ];

    let accepted: Vec<&str> = lines
        .into_iter()
        .filter(|line| !is_refused(line, ""))
        .collect();

    assert!(accepted.is_empty(), "{accepted:?}");
    for line in ["HTTP/1.0 200 OK", "HTTP/1.1 599 ", "HTTP/1.1 204"] {
        assert!(!is_refused(line, ""), "{line}");
    }
}

/// Guards against header fields that split the response towards the caller, and against lengths that
/// two readers take differently; also in a response without a body.
#[test]
fn invalid_response_headers_are_refused() {
    let fields = [
        "x-a: b\rx-c: d\r\n",
        "x-a: b\u{0}\r\n",
        "x-a\u{0}: b\r\n",
        "x a: b\r\n",
        "x-a : b\r\n",
        "content-length: -1\r\n",
        "content-length: 1\r\n",
        "transfer-encoding: chunked\r\n",
    ];
    let lines = ["HTTP/1.1 200 OK", "HTTP/1.1 304 Not Modified"];

    let accepted: Vec<_> = lines
        .iter()
        .flat_map(|line| fields.map(|field| (line, field)))
        .filter(|(line, field)| !is_refused(line, field))
        .collect();

    assert!(accepted.is_empty(), "{accepted:?}");
}

/// Guards against interim responses without end that each are small.
#[test]
fn interim_responses_are_bounded_in_number() {
    let response = |interim: usize| {
        let text = "HTTP/1.1 100 \r\n\r\n".repeat(interim);
        format!("{text}HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
    };

    let few = read_response(&[response(3).as_bytes()]);
    let many = read_response(&[response(17).as_bytes()]);

    assert_eq!(few.0.len(), 1);
    assert!(many.1.is_some());
}
