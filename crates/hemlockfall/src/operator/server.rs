//! JSON-RPC server of a node, on its own thread.

use std::fmt;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::server::BatchRequestConfig;
use jsonrpsee::server::ServerBuilder;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::tokio::runtime;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::Params;
use jsonrpsee::types::error::INVALID_PARAMS_CODE;
use serde::de::DeserializeOwned;

use crate::operator::Envelope;
use crate::operator::Options;
use crate::operator::errors;
use crate::operator::errors::OperatorError;
use crate::operator::errors::Result;
use crate::operator::methods;
use crate::operator::request::OperatorReply;
use crate::operator::request::OperatorRequest;

/// Largest request, in bytes; a catalogue entry takes a few kilobytes.
const MAX_REQUEST_BYTES: u32 = 1024 * 1024;
/// Largest answer, in bytes; reports with plots are the largest.
const MAX_RESPONSE_BYTES: u32 = 16 * 1024 * 1024;
/// Time limit for calls in progress when the server stops.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);

/// Notifies the receiver of the requests that a request is queued.
pub type Wake = Arc<dyn Fn() + Send + Sync>;

/// Running operator interface; it stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Listens on an address and passes each call to `requests`, calling `wake` after each one.
    ///
    /// # Errors
    /// [`errors::LISTEN_FAILED`].
    pub fn start(
        address: SocketAddr,
        options: &Options,
        requests: SyncSender<Envelope>,
        wake: Wake,
    ) -> Result<Self> {
        let failed = |reason: String| {
            OperatorError::failed(errors::LISTEN_FAILED, format!("{address}: {reason}"))
        };
        let listener = TcpListener::bind(address).map_err(|error| failed(error.to_string()))?;
        listener
            .set_nonblocking(true)
            .map_err(|error| failed(error.to_string()))?;
        let bound = listener
            .local_addr()
            .map_err(|error| failed(error.to_string()))?;
        let dispatcher = Dispatcher {
            requests,
            wake,
            call_timeout: options.call_timeout(),
        };
        let module = module(dispatcher).map_err(|error| failed(error.to_string()))?;
        let max_connections = options.max_connections;
        let (started, handle) = mpsc::sync_channel(1);
        let thread = thread::Builder::new()
            .name("operator".to_owned())
            .spawn(move || serve(listener, module, max_connections, &started))
            .map_err(|error| failed(error.to_string()))?;
        let handle = handle
            .recv()
            .map_err(|_| failed("the server thread ended".to_owned()))?
            .map_err(failed)?;
        Ok(Self {
            address: bound,
            handle,
            thread: Some(thread),
        })
    }

    /// Returns the address on which the server listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // An error means that the server has already stopped.
        let _ = self.handle.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

type Started = SyncSender<std::result::Result<ServerHandle, String>>;

fn serve(
    listener: TcpListener,
    module: RpcModule<Dispatcher>,
    max_connections: u32,
    started: &Started,
) {
    let threads = usize::try_from(max_connections).unwrap_or(1);
    let built = runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(threads)
        .build();
    let runtime = match built {
        Ok(runtime) => runtime,
        Err(error) => {
            let _ = started.send(Err(error.to_string()));
            return;
        }
    };
    runtime.block_on(async {
        let config = ServerConfig::builder()
            .http_only()
            .max_connections(max_connections)
            .max_request_body_size(MAX_REQUEST_BYTES)
            .max_response_body_size(MAX_RESPONSE_BYTES)
            .set_batch_request_config(BatchRequestConfig::Disabled)
            .build();
        match ServerBuilder::with_config(config).build_from_tcp(listener) {
            Ok(server) => {
                let handle = server.start(module);
                let _ = started.send(Ok(handle.clone()));
                handle.stopped().await;
            }
            Err(error) => {
                let _ = started.send(Err(error.to_string()));
            }
        }
    });
    runtime.shutdown_timeout(STOP_TIMEOUT);
}

struct Dispatcher {
    requests: SyncSender<Envelope>,
    wake: Wake,
    call_timeout: Duration,
}

impl fmt::Debug for Dispatcher {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Dispatcher")
            .field("call_timeout", &self.call_timeout)
            .finish_non_exhaustive()
    }
}

impl Dispatcher {
    fn call(&self, request: OperatorRequest) -> Result<OperatorReply> {
        let operation_id = request.operation_id();
        let (reply, answer) = mpsc::sync_channel(1);
        let envelope = Envelope {
            request,
            reply,
            deadline: Instant::now() + self.call_timeout,
        };
        self.requests
            .try_send(envelope)
            .map_err(|error| match error {
                TrySendError::Full(_) => {
                    OperatorError::failed(errors::NODE_BUSY, "too many operator calls wait")
                }
                TrySendError::Disconnected(_) => {
                    OperatorError::failed(errors::NODE_STOPPING, "the node stops")
                }
            })?;
        (self.wake)();
        answer
            .recv_timeout(self.call_timeout)
            .unwrap_or_else(|error| {
                let (code, message) = match error {
                    RecvTimeoutError::Timeout => (errors::NODE_UNRESPONSIVE, "no answer in time"),
                    RecvTimeoutError::Disconnected => (errors::NODE_STOPPING, "the node stops"),
                };
                Err(OperatorError::unanswered(code, message, operation_id))
            })
    }
}

type CallResult = std::result::Result<OperatorReply, ErrorObjectOwned>;

fn module(
    dispatcher: Dispatcher,
) -> std::result::Result<RpcModule<Dispatcher>, RegisterMethodError> {
    let mut module = RpcModule::new(dispatcher);
    register::<methods::ApplyParams>(&mut module, methods::APPLY)?;
    register::<methods::RemoveParams>(&mut module, methods::REMOVE)?;
    register::<methods::GetParams>(&mut module, methods::GET)?;
    register::<methods::HistoryParams>(&mut module, methods::HISTORY)?;
    register::<methods::MoveParams>(&mut module, methods::MOVE)?;
    register::<methods::ReportParams>(&mut module, methods::REPORT)?;
    module.register_blocking_method(methods::LIST, |_, dispatcher, _| -> CallResult {
        to_call_result(dispatcher.call(OperatorRequest::List))
    })?;
    module.register_blocking_method(methods::STATUS, |_, dispatcher, _| -> CallResult {
        to_call_result(dispatcher.call(OperatorRequest::Status))
    })?;
    Ok(module)
}

fn register<P>(
    module: &mut RpcModule<Dispatcher>,
    method: &'static str,
) -> std::result::Result<(), RegisterMethodError>
where
    P: DeserializeOwned + Into<OperatorRequest> + 'static,
{
    module.register_blocking_method(method, |params, dispatcher, _| {
        call_with::<P>(&params, &dispatcher)
    })?;
    Ok(())
}

fn call_with<P>(params: &Params<'_>, dispatcher: &Dispatcher) -> CallResult
where
    P: DeserializeOwned + Into<OperatorRequest>,
{
    let params: P = params.parse().map_err(|error| invalid_params(&error))?;
    let request: OperatorRequest = params.into();
    to_call_result(request.check().and_then(|()| dispatcher.call(request)))
}

fn invalid_params(error: &ErrorObjectOwned) -> ErrorObjectOwned {
    let reason = error.data().map_or(error.message(), |data| data.get());
    let error = OperatorError::failed(errors::PARAMETERS_INVALID, reason);
    ErrorObjectOwned::owned(INVALID_PARAMS_CODE, error.to_string(), Some(error))
}

fn to_call_result(result: Result<OperatorReply>) -> CallResult {
    result.map_err(|error| {
        let code = i32::from(error.code.0);
        ErrorObjectOwned::owned(code, error.to_string(), Some(error))
    })
}
