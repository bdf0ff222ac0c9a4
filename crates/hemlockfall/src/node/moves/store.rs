//! Thread that makes blocking store calls for the moves actor.

use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::SystemTime;

use hemlockfall_core::catalogue::StoredCatalogue;
use hemlockfall_core::catalogue::edit::Author;
use hemlockfall_core::catalogue::edit::Edit;
use hemlockfall_core::ids::NodeName;
use hemlockfall_core::ids::OperationId;
use hemlockfall_core::ids::Revision;
use hemlockfall_core::ids::ServiceName;
use hemlockfall_core::units;
use hemlockfall_moves::action::Lease;
use hemlockfall_moves::lease::LeaseRead;
use hemlockfall_moves::lease::LeaseWrite;
use hemlockfall_moves::owner::CommitAnswer;
use hemlockfall_moves::owner::Input;
use hemlockfall_moves::owner::ReadBackAnswer;
use hemlockfall_moves::record::MoveResult;
use hemlockfall_store::Client;
use hemlockfall_store::catalogue;
use hemlockfall_store::errors::Effect;
use smol_str::ToSmolStr;
use stakker::sync::Channel;

/// Maximum number of queued jobs. The owner retries a job that gets no answer.
const QUEUE_LENGTH: usize = 64;
/// Timeout of one job. It is shorter than the time that the owner waits for an answer.
const JOB_TIMEOUT_MS: u64 = 1_500;

/// Store call for the owner of a move.
#[derive(Debug)]
pub enum StoreJob {
    /// Read the lease.
    ReadLease,
    /// Write the lease conditionally.
    WriteLease {
        /// Value.
        lease: Lease,
        /// Object version that must be current.
        if_version: u64,
    },
    /// Apply the edit of a judge to the catalogue.
    Commit {
        /// Operation id of the write.
        operation_id: OperationId,
        /// Edit.
        edit: Box<Edit>,
        /// Revision of the last change of the entry that the judge has seen.
        seen_revision: Revision,
    },
    /// Read back whether a write took effect.
    ReadBack {
        /// Operation id of the write.
        operation_id: OperationId,
    },
    /// Create the result object of a move.
    WriteResult {
        /// Key.
        key: String,
        /// Value.
        result: Box<MoveResult>,
    },
}

/// Result of one job.
#[derive(Debug)]
pub struct StoreAnswer {
    /// Service of the owner that submitted the job.
    pub service: ServiceName,
    /// Message for the owner.
    pub input: Input,
    /// Catalogue that a commit wrote, or in which a read-back found it.
    pub committed: Option<Box<StoredCatalogue>>,
}

/// Job queue of the thread. Answers are sent over a channel.
pub struct MoveStore {
    jobs: SyncSender<(ServiceName, StoreJob)>,
}

impl MoveStore {
    /// Starts the thread.
    #[must_use]
    pub fn start(client: &Client, node: NodeName, answers: Channel<StoreAnswer>) -> Self {
        let mut options = client.options().clone();
        options.total_timeout_ms = JOB_TIMEOUT_MS;
        options.request_timeout_ms = options.request_timeout_ms.min(JOB_TIMEOUT_MS);
        let worker = Worker {
            client: Client::new(options, rand::random()),
            node,
        };
        let (jobs, receiver) = mpsc::sync_channel(QUEUE_LENGTH);
        thread::spawn(move || worker.run(&receiver, &answers));
        Self { jobs }
    }

    /// Submits a job.
    pub fn submit(&self, service: ServiceName, job: StoreJob) {
        if self.jobs.try_send((service, job)).is_err() {
            spdlog::warn!("store call of a move dropped: the queue is full");
        }
    }
}

struct Worker {
    client: Client,
    node: NodeName,
}

impl Worker {
    fn run(&self, jobs: &Receiver<(ServiceName, StoreJob)>, answers: &Channel<StoreAnswer>) {
        while let Ok((service, job)) = jobs.recv() {
            let (input, committed) = self.execute(&service, job);
            let answer = StoreAnswer {
                service,
                input,
                committed,
            };
            if !answers.send(answer) {
                return;
            }
        }
    }

    fn execute(
        &self,
        service: &ServiceName,
        job: StoreJob,
    ) -> (Input, Option<Box<StoredCatalogue>>) {
        match job {
            StoreJob::ReadLease => (Input::LeaseRead(self.read_lease(service)), None),
            StoreJob::WriteLease { lease, if_version } => {
                let answer = self.write_lease(service, &lease, if_version);
                (Input::LeaseWrite(answer), None)
            }
            StoreJob::Commit {
                operation_id,
                edit,
                seen_revision,
            } => {
                let (answer, committed) = self.commit(operation_id, &edit, seen_revision);
                let input = Input::Commit {
                    operation_id,
                    answer,
                };
                (input, committed)
            }
            StoreJob::ReadBack { operation_id } => {
                let (answer, committed) = self.read_back(operation_id);
                let input = Input::ReadBack {
                    operation_id,
                    answer,
                };
                (input, committed)
            }
            StoreJob::WriteResult { key, result } => {
                (Input::Result(self.write_result(&key, &result)), None)
            }
        }
    }

    fn read_lease(&self, service: &str) -> LeaseRead {
        let object = match self.client.get(&lease_key(service)) {
            Ok(Some(object)) => object,
            Ok(None) => return LeaseRead::Absent,
            Err(_) => return LeaseRead::Unavailable,
        };
        match serde_json::from_slice(&object.body) {
            Ok(lease) => LeaseRead::Found {
                lease,
                version: object.version,
            },
            Err(error) => {
                spdlog::error!("the lease cannot be read", kv: {
                    service = service, error = error.to_string(),
                });
                LeaseRead::Unavailable
            }
        }
    }

    fn write_lease(&self, service: &str, lease: &Lease, if_version: u64) -> LeaseWrite {
        let Ok(body) = serde_json::to_vec(lease) else {
            return LeaseWrite::Unknown;
        };
        match self.client.put(&lease_key(service), if_version, &body) {
            Ok(version) => LeaseWrite::Written { version },
            Err(error) if error.effect() == Effect::Conflict => LeaseWrite::Conflict,
            Err(_) => LeaseWrite::Unknown,
        }
    }

    fn commit(
        &self,
        operation_id: OperationId,
        edit: &Edit,
        seen_revision: Revision,
    ) -> (CommitAnswer, Option<Box<StoredCatalogue>>) {
        let author = Author {
            operation_id,
            who: self.node.clone(),
            at_unix_ms: units::unix_ms(SystemTime::now()),
        };
        match catalogue::commit_seen(&self.client, edit, &author, Some(seen_revision)) {
            Ok(committed) => {
                let answer = CommitAnswer::Accepted {
                    revision: committed.revision,
                };
                (answer, Some(Box::new(committed.catalogue.stored)))
            }
            Err(error) if error.effect() == Effect::Unknown => (CommitAnswer::Unknown, None),
            Err(error) => {
                spdlog::info!("move decision refused", kv: {
                    service = edit.service().as_str(),
                    decision_id = operation_id.to_string(),
                    reason = error.to_string(),
                });
                let reason = error.to_smolstr();
                (CommitAnswer::Refused { reason }, None)
            }
        }
    }

    /// Looks up a write in the change records of the catalogue. These reach back far enough,
    /// because an owner reads its write back within seconds.
    fn read_back(
        &self,
        operation_id: OperationId,
    ) -> (ReadBackAnswer, Option<Box<StoredCatalogue>>) {
        let Ok(current) = catalogue::read(&self.client) else {
            return (ReadBackAnswer::Unavailable, None);
        };
        let changes = &current.stored.changes;
        let found = changes
            .iter()
            .rev()
            .find(|change| change.operation_id == operation_id);
        match found {
            Some(change) => {
                let revision = change.revision;
                let answer = ReadBackAnswer::Found { revision };
                (answer, Some(Box::new(current.stored)))
            }
            None => (ReadBackAnswer::Missing, None),
        }
    }

    /// Creates the result object. An existing object is kept and counts as success.
    fn write_result(&self, key: &str, result: &MoveResult) -> bool {
        let Ok(body) = serde_json::to_vec(result) else {
            return false;
        };
        match self.client.put(key, 0, &body) {
            Ok(_) => true,
            Err(error) => error.effect() == Effect::Conflict,
        }
    }
}

fn lease_key(service: &str) -> String {
    format!("moves/lease/{service}")
}
