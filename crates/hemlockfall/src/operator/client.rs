//! JSON-RPC client that the command line uses.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use hemlockfall_core::ids::OperationId;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::client::Error as RpcError;
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::tokio::runtime;
use jsonrpsee::types::ErrorObjectOwned;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::operator::errors;
use crate::operator::errors::OperatorError;
use crate::operator::errors::Result;
use crate::operator::methods;
use crate::operator::request::OperatorReply;
use crate::operator::request::OperatorRequest;

/// Time limit for opening a connection; nodes are at most one region away.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for a call; above the default of the node's own limit, so that the node's error with
/// its result code arrives first.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest answer, in bytes; the same as the server's.
const MAX_RESPONSE_BYTES: u32 = 16 * 1024 * 1024;

struct Json<T>(T);

impl<T: Serialize + Send> ToRpcParams for Json<T> {
    fn to_rpc_params(self) -> std::result::Result<Option<Box<RawValue>>, serde_json::Error> {
        serde_json::value::to_raw_value(&self.0).map(Some)
    }
}

/// Sends a request to a node and waits for the answer.
///
/// # Errors
/// The error returned by the node; [`errors::NODE_UNREACHABLE`] if nothing was sent; otherwise
/// [`errors::NODE_UNRESPONSIVE`] or [`errors::ANSWER_MALFORMED`], with an unknown outcome for
/// changes.
pub fn call(node: SocketAddr, request: OperatorRequest) -> Result<OperatorReply> {
    let unreachable = |reason: String| {
        OperatorError::failed(errors::NODE_UNREACHABLE, format!("{node}: {reason}"))
    };
    // A connection that cannot be opened proves that nothing was sent. The HTTP client does not
    // distinguish this case from a lost answer.
    TcpStream::connect_timeout(&node, CONNECT_TIMEOUT)
        .map_err(|error| unreachable(error.to_string()))?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| unreachable(error.to_string()))?;
    let client = HttpClient::builder()
        .request_timeout(CALL_TIMEOUT)
        .max_response_size(MAX_RESPONSE_BYTES)
        .build(format!("http://{node}"))
        .map_err(|error| unreachable(error.to_string()))?;
    let operation_id = request.operation_id();
    runtime
        .block_on(send(&client, request))
        .map_err(|error| failure(node, error, operation_id))
}

async fn send(
    client: &HttpClient,
    request: OperatorRequest,
) -> std::result::Result<OperatorReply, RpcError> {
    match request {
        OperatorRequest::Apply { service, author } => {
            let params = methods::ApplyParams {
                service,
                who: author.who,
                operation_id: author.operation_id,
            };
            client.request(methods::APPLY, Json(params)).await
        }
        OperatorRequest::Remove {
            service,
            seen_revision,
            author,
        } => {
            let params = methods::RemoveParams {
                service,
                seen_revision,
                who: author.who,
                operation_id: author.operation_id,
            };
            client.request(methods::REMOVE, Json(params)).await
        }
        OperatorRequest::Get { service } => {
            let params = methods::GetParams { service };
            client.request(methods::GET, Json(params)).await
        }
        OperatorRequest::List => {
            client
                .request(methods::LIST, jsonrpsee::rpc_params![])
                .await
        }
        OperatorRequest::History { service, limit } => {
            let params = methods::HistoryParams { service, limit };
            client.request(methods::HISTORY, Json(params)).await
        }
        OperatorRequest::Move {
            service,
            move_id,
            action,
            reason,
            author,
        } => {
            let params = methods::MoveParams {
                service,
                move_id,
                action,
                reason,
                who: author.who,
                operation_id: author.operation_id,
            };
            client.request(methods::MOVE, Json(params)).await
        }
        OperatorRequest::Status => {
            client
                .request(methods::STATUS, jsonrpsee::rpc_params![])
                .await
        }
        OperatorRequest::Report { format } => {
            let params = methods::ReportParams { format };
            client.request(methods::REPORT, Json(params)).await
        }
    }
}

fn failure(node: SocketAddr, error: RpcError, operation_id: Option<OperationId>) -> OperatorError {
    match error {
        RpcError::Call(object) => call_error(&object),
        RpcError::RequestTimeout => OperatorError::unanswered(
            errors::NODE_UNRESPONSIVE,
            format!("{node}: no answer within {} s", CALL_TIMEOUT.as_secs()),
            operation_id,
        ),
        RpcError::Transport(error) => OperatorError::unanswered(
            errors::NODE_UNRESPONSIVE,
            format!("{node}: the answer was lost: {error}"),
            operation_id,
        ),
        other => OperatorError::unanswered(
            errors::ANSWER_MALFORMED,
            format!("{node}: {other}"),
            operation_id,
        ),
    }
}

/// Converts a JSON-RPC error. One without an [`OperatorError`] as data comes from the protocol
/// layer, which fails before the call has any effect.
fn call_error(object: &ErrorObjectOwned) -> OperatorError {
    let operator_error = object
        .data()
        .and_then(|data| serde_json::from_str(data.get()).ok());
    operator_error.unwrap_or_else(|| {
        let message = format!("JSON-RPC error {}: {}", object.code(), object.message());
        OperatorError::failed(errors::ANSWER_MALFORMED, message)
    })
}
