//! Worker of a node that executes operator requests.
//!
//! Status requests are answered immediately, so that they work while the store is down. All other
//! requests are processed one by one on a thread that makes blocking calls to the store. Between
//! requests, that thread determines the outcome of changes for which the store's answer was lost.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::TrySendError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_core::catalogue::StoredCatalogue;
use hemlockfall_core::catalogue::edit::Author;
use hemlockfall_core::catalogue::edit::Edit;
use hemlockfall_core::ids::OperationId;
use hemlockfall_store::Client;
use hemlockfall_store::Error as StoreError;
use hemlockfall_store::catalogue;
use hemlockfall_store::catalogue::Settled;
use hemlockfall_store::errors::PendingCommit;
use hemlockfall_store::history;
use smol_str::SmolStr;

use crate::operator::Envelope;
use crate::operator::Options;
use crate::operator::errors;
use crate::operator::errors::OperatorError;
use crate::operator::errors::Outcome;
use crate::operator::errors::Result;
use crate::operator::request::Acceptance;
use crate::operator::request::EntryLine;
use crate::operator::request::EntryList;
use crate::operator::request::NodeStatus;
use crate::operator::request::OperationState;
use crate::operator::request::OperationSummary;
use crate::operator::request::OperatorReply;
use crate::operator::request::OperatorRequest;
use crate::operator::request::ReportFormat;

/// Interval of the attempts to determine the outcome of a change whose answer was lost.
const SETTLE_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit of one such attempt; short, so that it does not delay requests.
const SETTLE_TIMEOUT_MS: u64 = 500;
/// Largest number of tracked operations; the oldest settled ones are evicted first.
const MAX_TRACKED_OPERATIONS: usize = 64;

/// Puts an accepted catalogue in force on the node and returns the number of other VMs that
/// acknowledged a copy within 1 s.
pub type OnAccepted = Box<dyn Fn(&StoredCatalogue) -> usize + Send + Sync>;

/// Callbacks of the worker into its node.
pub struct Hooks {
    /// Called after each accepted change, from the worker's store thread.
    pub on_accepted: OnAccepted,
    /// Returns the state of the node; the worker adds the operations.
    pub status: Box<dyn Fn() -> NodeStatus + Send + Sync>,
    /// Renders the report on the rollouts.
    pub report: Box<dyn Fn(ReportFormat) -> Result<String> + Send + Sync>,
}

impl fmt::Debug for Hooks {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Hooks").finish_non_exhaustive()
    }
}

/// Executes requests until their channel closes.
#[expect(
    clippy::needless_pass_by_value,
    reason = "the worker owns its channel and hooks"
)]
pub fn run(requests: Receiver<Envelope>, client: Client, hooks: Hooks, options: &Options) {
    let operations = TrackedOperations::default();
    let (jobs, job_queue) = mpsc::sync_channel(options.queue_length);
    thread::scope(|scope| {
        let store = StoreWorker::new(client, &hooks, &operations);
        scope.spawn(move || store.run(&job_queue));
        for envelope in &requests {
            match envelope.request {
                OperatorRequest::Status => {
                    let mut status = (hooks.status)();
                    status.operations = operations.list();
                    respond(&envelope, Ok(OperatorReply::Status(status)));
                }
                _ => {
                    if let Err(TrySendError::Full(envelope)) = jobs.try_send(envelope) {
                        let message = "too many operator calls wait for the store";
                        let busy = OperatorError::failed(errors::NODE_BUSY, message);
                        respond(&envelope, Err(busy));
                    }
                }
            }
        }
        drop(jobs);
    });
}

/// Sends a reply and returns whether the operator was still waiting for it.
fn respond(envelope: &Envelope, result: Result<OperatorReply>) -> bool {
    envelope.reply.try_send(result).is_ok()
}

/// A change whose outcome the operator was not told.
#[derive(Clone, Debug)]
struct TrackedOperation {
    operation_id: OperationId,
    service: SmolStr,
    pending: Option<PendingCommit>,
    state: OperationState,
}

/// Changes whose outcome the operator was not told, oldest first.
#[derive(Debug, Default)]
struct TrackedOperations(Mutex<VecDeque<TrackedOperation>>);

impl TrackedOperations {
    fn lock(&self) -> MutexGuard<'_, VecDeque<TrackedOperation>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, operation: TrackedOperation) {
        let mut operations = self.lock();
        if operations.len() >= MAX_TRACKED_OPERATIONS {
            let is_settled =
                |operation: &TrackedOperation| operation.state != OperationState::Unknown;
            let oldest = operations.iter().position(is_settled).unwrap_or(0);
            operations.remove(oldest);
        }
        operations.push_back(operation);
    }

    /// Returns the next change whose outcome is unknown and moves it to the end, so that all are
    /// tried in turn.
    fn next_unsettled(&self) -> Option<PendingCommit> {
        let mut operations = self.lock();
        let is_unsettled = |operation: &TrackedOperation| {
            operation.state == OperationState::Unknown && operation.pending.is_some()
        };
        let index = operations.iter().position(is_unsettled)?;
        let operation = operations.remove(index)?;
        let pending = operation.pending;
        operations.push_back(operation);
        pending
    }

    fn settle(&self, pending: &PendingCommit, state: OperationState) {
        let mut operations = self.lock();
        let same =
            |operation: &&mut TrackedOperation| operation.operation_id == pending.operation_id;
        if let Some(operation) = operations.iter_mut().find(same) {
            operation.state = state;
        }
    }

    fn list(&self) -> Vec<OperationSummary> {
        let to_public = |operation: &TrackedOperation| OperationSummary {
            operation_id: operation.operation_id,
            service: operation.service.clone(),
            state: operation.state,
        };
        self.lock().iter().map(to_public).collect()
    }
}

struct StoreWorker<'a> {
    client: Client,
    settle_client: Client,
    hooks: &'a Hooks,
    operations: &'a TrackedOperations,
}

impl<'a> StoreWorker<'a> {
    fn new(client: Client, hooks: &'a Hooks, operations: &'a TrackedOperations) -> Self {
        let settle_options = hemlockfall_store::Options {
            total_timeout_ms: SETTLE_TIMEOUT_MS,
            ..client.options().clone()
        };
        Self {
            client,
            settle_client: Client::new(settle_options, rand::random()),
            hooks,
            operations,
        }
    }

    fn run(&self, jobs: &Receiver<Envelope>) {
        let mut next_settle = Instant::now() + SETTLE_INTERVAL;
        loop {
            let wait = next_settle.saturating_duration_since(Instant::now());
            match jobs.recv_timeout(wait) {
                Ok(envelope) => self.handle(&envelope),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if Instant::now() >= next_settle {
                self.settle_next();
                next_settle = Instant::now() + SETTLE_INTERVAL;
            }
        }
    }

    fn handle(&self, envelope: &Envelope) {
        // The operator has already been told that there was no answer, so a change must not start
        // any more.
        if Instant::now() >= envelope.deadline {
            let message = "the call waited too long for the store";
            let busy = OperatorError::failed(errors::NODE_BUSY, message);
            if !respond(envelope, Err(busy)) {
                self.record_late_outcome(&envelope.request, OperationState::NotApplied);
            }
            return;
        }
        let result = self.execute(&envelope.request);
        let late_state = match &result {
            Ok(OperatorReply::Accepted(acceptance)) => {
                OperationState::Accepted(acceptance.revision)
            }
            _ => OperationState::NotApplied,
        };
        let is_unknown = matches!(&result, Err(error) if error.outcome == Outcome::Unknown);
        if !respond(envelope, result) && !is_unknown {
            self.record_late_outcome(&envelope.request, late_state);
        }
    }

    /// Records the outcome of a change whose call timed out before, so that the operator can look
    /// it up in the status of the node.
    fn record_late_outcome(&self, request: &OperatorRequest, state: OperationState) {
        if let Some((edit, author)) = request.edit() {
            self.operations.add(TrackedOperation {
                operation_id: author.operation_id,
                service: edit.service().clone(),
                pending: None,
                state,
            });
        }
    }

    fn execute(&self, request: &OperatorRequest) -> Result<OperatorReply> {
        if let Some((edit, author)) = request.edit() {
            return self.change(&edit, author);
        }
        match request {
            OperatorRequest::Get { service } => self.get(service),
            OperatorRequest::History { service, limit } => self.history(service, *limit),
            OperatorRequest::Report { format } => {
                (self.hooks.report)(*format).map(OperatorReply::Report)
            }
            _ => self.list(),
        }
    }

    fn change(&self, edit: &Edit, author: &Author) -> Result<OperatorReply> {
        let committed = match catalogue::commit(&self.client, edit, author) {
            Ok(committed) => committed,
            Err(error) => {
                if let StoreError::CommitUnknown { pending, .. } = &error {
                    self.operations.add(TrackedOperation {
                        operation_id: pending.operation_id,
                        service: edit.service().clone(),
                        pending: Some(*pending),
                        state: OperationState::Unknown,
                    });
                }
                return Err(error.into());
            }
        };
        let copies = (self.hooks.on_accepted)(&committed.catalogue.stored);
        Ok(OperatorReply::Accepted(Acceptance {
            service: edit.service().clone(),
            revision: committed.revision,
            operation_id: author.operation_id,
            copies,
        }))
    }

    fn get(&self, service: &SmolStr) -> Result<OperatorReply> {
        let catalogue = catalogue::read(&self.client)?;
        let entry = catalogue.stored.configuration.entry(service);
        let not_found = || hemlockfall_core::errors::Error::EntryNotFound {
            service: service.to_string(),
        };
        let entry = entry.cloned().ok_or_else(not_found)?;
        Ok(OperatorReply::Entry(Box::new(entry)))
    }

    fn list(&self) -> Result<OperatorReply> {
        let configuration = catalogue::read(&self.client)?.stored.configuration;
        Ok(OperatorReply::Entries(EntryList {
            revision: configuration.revision,
            entries: configuration.entries.iter().map(EntryLine::from).collect(),
        }))
    }

    /// Returns the changes of an entry. The entry need not exist, since removed entries have a
    /// history too.
    fn history(&self, service: &SmolStr, limit: usize) -> Result<OperatorReply> {
        let catalogue = catalogue::read(&self.client)?;
        let changes = history::of_service(&self.client, &catalogue.stored, service, limit)?;
        if changes.is_empty() && catalogue.stored.configuration.entry(service).is_none() {
            return Err(hemlockfall_core::errors::Error::EntryNotFound {
                service: service.to_string(),
            }
            .into());
        }
        Ok(OperatorReply::History(changes))
    }

    /// Tries to determine the outcome of one change.
    fn settle_next(&self) {
        let Some(pending) = self.operations.next_unsettled() else {
            return;
        };
        match catalogue::settle(&self.settle_client, &pending) {
            Ok(Settled::Accepted(committed)) => {
                let state = OperationState::Accepted(committed.revision);
                self.operations.settle(&pending, state);
                (self.hooks.on_accepted)(&committed.catalogue.stored);
            }
            Ok(Settled::NotApplied) => self.operations.settle(&pending, OperationState::NotApplied),
            // Retried after the next interval.
            Ok(Settled::Undecided) | Err(_) => {}
        }
    }
}
