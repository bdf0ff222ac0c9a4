//! Client accounts of a run, and callers that use their keys.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use hemlockfall_standins::caller as wire;
use hemlockfall_standins::caller::CallerRequest;
use hemlockfall_standins::caller::Connection;
use hemlockfall_standins::caller::Outcome;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;

use crate::soak::caller::CallerContext;
use crate::soak::caller::HOST;

/// Only region that may serve requests of the account `HOME_BOUND` and of the route `HOME_PREFIX`.
pub const HOME_REGION: &str = "west";
/// Start of the paths of the route with a home region.
pub const HOME_PREFIX: &str = "/home/";
/// Cold rate of the targets, in requests per second.
pub const COLD_PER_S: u32 = 13;
/// Quota of the account `METERED`: requests per second, and burst.
pub const QUOTA_PER_S: u32 = 20;
pub const QUOTA_BURST: u32 = 20;
/// Whether the account `METERED` sends over its quota. The nodes do not enforce quotas yet.
pub const HAS_QUOTAS: bool = false;
/// Routes whose requests need no key: their callers have no account.
const PUBLIC_ROUTES: [&str; 2] = ["stock", "batch"];
/// Path of a route that needs a key.
const KEYED_PATH: &str = "/feed/1";
/// Name of an account that callers claim without a key of it.
const FORGED_NAME: &str = "root";
const ACCOUNT_HEADER: &str = "X-Tenant";
const KEY_HEADER: &str = "X-Key";
/// Mean pause between two requests of one caller; each pause is 0.3 to 1.7 times as long.
const MEAN_PAUSE: Duration = Duration::from_millis(40);
const DEADLINE: Duration = Duration::from_millis(1500);
/// Requests of `METERED` for each other one.
const METERED_REQUESTS: usize = 2;

/// Account of callers.
#[derive(Clone, Copy, Debug)]
pub struct Account {
    /// Name that targets see.
    pub name: &'static str,
    /// Key that targets must not see.
    pub key: &'static str,
}

/// Account of the callers that send requests continuously.
pub const ORDINARY: Account = Account {
    name: "ordinary",
    key: "k-ordinary-5d01",
};
/// Account whose requests only one region may serve.
pub const HOME_BOUND: Account = Account {
    name: "homebound",
    key: "k-homebound-92ce",
};
/// Account whose key is revoked during the run.
pub const REVOCABLE: Account = Account {
    name: "revocable",
    key: "k-revocable-b1f7",
};
/// Account with a quota.
pub const METERED: Account = Account {
    name: "metered",
    key: "k-metered-40aa",
};
/// All accounts.
pub const ACCOUNTS: [Account; 4] = [ORDINARY, HOME_BOUND, REVOCABLE, METERED];

impl Account {
    /// Returns the id of a request of this account.
    #[must_use]
    pub fn request_id(self, id: &str) -> String {
        format!("{}-{id}", self.name)
    }

    /// Returns whether a request id is of this account.
    #[must_use]
    pub fn has_sent(self, request_id: &str) -> bool {
        let rest = request_id.strip_prefix(self.name);
        rest.is_some_and(|rest| rest.starts_with('-'))
    }

    /// Has the requests of a connection carry the key, and the name of another account.
    pub fn sign(self, connection: &mut Connection) {
        connection.set_headers(&[(KEY_HEADER, self.key), (ACCOUNT_HEADER, FORGED_NAME)]);
    }
}

/// Adds the accounts, a route with a home region and the cold rate to a configuration.
pub fn add_to_config(config: &mut Value, is_revoked: bool) {
    for service in config["services"].as_array_mut().into_iter().flatten() {
        service["coldPerS"] = COLD_PER_S.into();
    }
    if let Some(routes) = config["routes"].as_array_mut() {
        for route in routes.iter_mut() {
            let name = route["name"].as_str().unwrap_or_default();
            let prefix = route["pathPrefix"].as_str().unwrap_or_default();
            let is_probe = prefix.starts_with("/probe-");
            if PUBLIC_ROUTES.contains(&name) || is_probe {
                route["public"] = true.into();
            }
        }
        let mut home = wire::route("home", HOST, HOME_PREFIX, "desk", true);
        home["allowedRegions"] = json!([HOME_REGION]);
        routes.push(home);
    }
    let keys = if is_revoked {
        json!([])
    } else {
        json!([REVOCABLE.key])
    };
    config["tenants"] = json!([
        { "name": ORDINARY.name, "apiKeys": [ORDINARY.key] },
        { "name": HOME_BOUND.name, "apiKeys": [HOME_BOUND.key], "allowedRegions": [HOME_REGION] },
        { "name": REVOCABLE.name, "apiKeys": keys },
        {
            "name": METERED.name, "apiKeys": [METERED.key],
            "ratePerS": QUOTA_PER_S, "burst": QUOTA_BURST,
        },
    ]);
}

/// Use of the key that can be revoked.
#[derive(Clone, Copy, Debug)]
pub struct KeyUse {
    /// When the request was sent.
    pub sent: Instant,
    /// Node that got it.
    pub vm: usize,
    /// Number of restarts of the node before the request, if there was none until its answer.
    pub node_starts: Option<u32>,
    /// Whether the request was served; otherwise the key was refused.
    pub is_served: bool,
}

/// Uses of the key that can be revoked, in the order of their ends.
#[derive(Debug, Default)]
pub struct KeyUses(Mutex<Vec<KeyUse>>);

impl KeyUses {
    /// Returns the uses so far.
    #[must_use]
    pub fn all(&self) -> Vec<KeyUse> {
        let uses = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        uses.clone()
    }

    fn add(&self, key_use: KeyUse) {
        let mut uses = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        uses.push(key_use);
    }
}

/// Caller at one node that sends requests of several accounts.
pub(super) struct AccountCaller {
    pub(super) vm: usize,
    pub(super) starts: Arc<AtomicU32>,
    pub(super) context: CallerContext,
    pub(super) uses: Arc<KeyUses>,
}

impl AccountCaller {
    /// Starts a thread that sends requests until it is stopped.
    pub(super) fn start(self) -> JoinHandle<()> {
        thread::spawn(move || {
            let seed = self.context.seed + u64::try_from(self.vm).unwrap_or(0);
            let mut random = SmallRng::seed_from_u64(seed);
            while !self.context.stop.load(Ordering::SeqCst) {
                thread::sleep(MEAN_PAUSE.mul_f64(random.random_range(0.3..1.7)));
                let sent = [
                    (ORDINARY, "/home/1"),
                    (HOME_BOUND, KEYED_PATH),
                    (REVOCABLE, KEYED_PATH),
                ];
                let (account, path) = sent[random.random_range(0..sent.len())];
                self.send(&mut random, account, path);
                if HAS_QUOTAS {
                    for _ in 0..METERED_REQUESTS {
                        self.send(&mut random, METERED, KEYED_PATH);
                    }
                }
            }
        })
    }

    fn send(&self, random: &mut SmallRng, account: Account, path: &str) {
        let Ok(mut connection) = Connection::open(self.context.node) else {
            return;
        };
        account.sign(&mut connection);
        let request = CallerRequest {
            id: account.request_id(&format!("{:016x}", random.random::<u64>())),
            host: HOST.to_owned(),
            path: path.to_owned(),
            body: Vec::new(),
            deadline: DEADLINE,
        };
        let (starts, sent) = (self.starts.load(Ordering::SeqCst), Instant::now());
        let outcome = connection.send(&request).0;
        let is_served = match outcome {
            Outcome::Served => true,
            Outcome::Failed(401) => false,
            Outcome::NotRun => return self.context.ledger.record_not_run(&request.id),
            Outcome::Wrong(what) => {
                let text = format!("WHOLE: {} got {what}", request.id);
                return self.context.ledger.report(text);
            }
            _ => return,
        };
        if account.key == REVOCABLE.key {
            let is_same_process = self.starts.load(Ordering::SeqCst) == starts;
            self.uses.add(KeyUse {
                sent,
                vm: self.vm,
                node_starts: is_same_process.then_some(starts),
                is_served,
            });
        } else if !is_served {
            let text = format!("ACCOUNT: {} was refused as without a key", request.id);
            self.context.ledger.report(text);
        }
    }
}
