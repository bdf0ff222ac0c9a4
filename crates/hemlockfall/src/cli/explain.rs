//! Command that asks a node of `sidecar` where a request would go.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use hemlockfall_sidecar::explain::Explanation;
use hemlockfall_sidecar::explain::Query;
use hemlockfall_sidecar::explain::QueryError;

use crate::cli::arguments::ExplainOptions;
use crate::cli::failure::Failure;
use crate::cli::failure::Result;
use crate::cli::output;
use crate::operator::errors;
use crate::operator::errors::OperatorError;

/// Time to connect, and between two parts of the answer.
const IO_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer. A candidate takes about 400 bytes, so this holds thousands of them.
const MAX_ANSWER_BYTES: u64 = 4 * 1024 * 1024;
const MAX_HEADERS: usize = 32;
const STATUS_OK: u16 = 200;

pub(crate) fn run(options: &ExplainOptions) -> Result<()> {
    let query = Query {
        method: options.method.clone(),
        host: options.host.clone(),
        path: options.path.clone(),
        account: options.account.as_deref().map(Into::into),
        timeout_ms: options.timeout_ms,
    };
    query.check().map_err(failed)?;
    let explanation = ask(options.node.0, &query)?;
    if options.json {
        output::print_json(&explanation)
    } else {
        output::print(&explanation.to_string())
    }
}

fn ask(node: SocketAddr, query: &Query) -> Result<Explanation> {
    let mut stream = TcpStream::connect_timeout(&node, IO_TIMEOUT).map_err(|error| {
        Failure::from(OperatorError::failed(
            errors::NODE_UNREACHABLE,
            format!("{node}: {error}"),
        ))
    })?;
    let answer = exchange(&mut stream, query).map_err(|error| {
        Failure::from(OperatorError::failed(
            errors::NODE_UNRESPONSIVE,
            format!("{node}: {error}"),
        ))
    })?;
    let malformed = |reason: &str| {
        let message = format!("{node}: {reason}; is it the metrics address of a sidecar node?");
        Failure::from(OperatorError::failed(errors::ANSWER_MALFORMED, message))
    };
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(head_bytes)) = head.parse(&answer) else {
        return Err(malformed("the answer is not HTTP"));
    };
    let body = &answer[head_bytes..];
    if head.code == Some(STATUS_OK) {
        return serde_json::from_slice(body).map_err(|_| malformed("the answer cannot be read"));
    }
    let Ok(error) = serde_json::from_slice::<QueryError>(body) else {
        let status = head.code.unwrap_or_default();
        return Err(malformed(&format!("the answer has status {status}")));
    };
    Err(failed(error))
}

fn exchange(stream: &mut TcpStream, query: &Query) -> io::Result<Vec<u8>> {
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    let head = format!(
        "GET {} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n",
        query.to_target()
    );
    stream.write_all(head.as_bytes())?;
    let mut answer = Vec::new();
    stream.take(MAX_ANSWER_BYTES).read_to_end(&mut answer)?;
    Ok(answer)
}

fn failed(error: QueryError) -> Failure {
    OperatorError::failed(error.code, error.message).into()
}
