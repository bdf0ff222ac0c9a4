//! Client accounts of callers: which account a request belongs to, and the headers that name it.
//!
//! Only the node that a caller is connected to knows the presented key. It keeps the key's digest to
//! check before each attempt that the account still holds the key.

use std::rc::Rc;

use hemlockfall_http::http::Header;
use hemlockfall_http::http::HttpRequest;
use serde_json::json;

use crate::accounts::CallerAccount;
use crate::accounts::Directory;
use crate::attempts::FinalOutcome;
use crate::clock::Time;
use crate::log::LogCategory;
use crate::model::KeyDigest;
use crate::model::Route;
use crate::node::Node;
use crate::node::callers::own_answer;
use crate::platform::HeaderNames;
use crate::regions::AllowedRegions;

pub(super) const CODE_NO_ACCOUNT: &str = "HF-3714";

/// Result of checking the key of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallerIdentity {
    /// The configuration has no accounts, so headers are forwarded as they are.
    NotNeeded,
    /// The route is public, and the request has no known key.
    Anonymous,
    /// The request belongs to an account.
    Known(CallerAccount),
    /// The route needs a key, and the request has none or an unknown one.
    Refused,
}

impl CallerIdentity {
    /// Returns the account of the request, if it has one.
    pub(super) fn account(&self) -> Option<&CallerAccount> {
        match self {
            Self::Known(account) => Some(account),
            Self::NotNeeded | Self::Anonymous | Self::Refused => None,
        }
    }

    /// Returns the priority of a request on a route.
    pub(super) fn priority(&self, route: &Route) -> u8 {
        let of_account = self.account().and_then(|account| account.priority);
        of_account.unwrap_or(route.priority)
    }

    /// Returns the regions in which a request on a route may be served.
    pub(super) fn allowed_regions(&self, route: &Route) -> AllowedRegions {
        let of_account = self
            .account()
            .map_or(&[][..], |account| &account.allowed_regions);
        AllowedRegions::intersection(&route.allowed_regions, of_account)
    }

    /// Removes the key and sets the header that names the account for the target.
    fn replace_headers(&self, request: &mut HttpRequest, names: HeaderNames) {
        if *self == Self::NotNeeded {
            return;
        }
        request.headers.retain(|header| {
            ![names.account_key, names.account_name]
                .iter()
                .any(|name| header.name.eq_ignore_ascii_case(name))
        });
        if let Some(account) = self.account() {
            let header = Header::new(names.account_name, account.name.clone());
            request.headers.push(header);
        }
    }
}

impl Node {
    /// Returns the account of a request on a route.
    pub(super) fn identify_caller(&self, request: &HttpRequest, route: &Route) -> CallerIdentity {
        let key = presented_key(request, self.header_names.account_key);
        self.identify_key(key, route)
    }

    pub(super) fn identify_key(&self, key: Option<KeyDigest>, route: &Route) -> CallerIdentity {
        let Some(directory) = self.mesh.accounts() else {
            return CallerIdentity::NotNeeded;
        };
        match key.and_then(|key| Directory::caller_account(directory, key)) {
            Some(account) => CallerIdentity::Known(account),
            None if route.is_public => CallerIdentity::Anonymous,
            None => CallerIdentity::Refused,
        }
    }

    /// Removes the key from an identified request and names the account to the target.
    pub(super) fn replace_account_headers(
        &self,
        request: &mut HttpRequest,
        identity: &CallerIdentity,
    ) {
        identity.replace_headers(request, self.header_names);
    }

    /// Refuses a request without a known key. A key that is unknown here may be held by an account of
    /// a newer configuration that was announced and has not arrived yet, so that such a request is
    /// deferred first.
    pub(super) fn refuse_unknown_caller(
        &mut self,
        caller: u64,
        token: u64,
        request: HttpRequest,
        arrived: Time,
    ) {
        let has_key = request.header(self.header_names.account_key).is_some();
        if has_key && self.mesh.is_behind() && self.can_defer(&request, arrived) {
            self.defer_request(caller, token, request, arrived);
            return;
        }
        metrics::counter!("hemlockfall_sidecar_requests_total", "outcome" => "no_account")
            .increment(1);
        if self.log.admits(LogCategory::Failure, self.now) {
            let id = request.header(self.header_names.request_id);
            let config = self.mesh.config_version();
            self.log.write(
                "request",
                json!({ "id": id, "status": 401, "code": CODE_NO_ACCOUNT, "config": config }),
            );
        }
        self.answer_caller(caller, token, own_answer(401, CODE_NO_ACCOUNT, None));
    }

    /// Checks the key and the regions of a call again, since the configuration may have changed since
    /// the last attempt. Returns whether the call may continue; otherwise it has been answered.
    pub(super) fn recheck_account(&mut self, id: u64) -> bool {
        let Some(call) = self.calls.get(id) else {
            return false;
        };
        let version = self.mesh.config_version();
        if call.account_version == version {
            return true;
        }
        // Headers of a call that began under a configuration without accounts are still those of the
        // caller.
        let presented = presented_key(&call.request, self.header_names.account_key);
        // The configuration may also have changed who may send requests of the route, and where they
        // may be served.
        let config = self.mesh.config();
        let route = config.and_then(|config| config.route(&call.route.name));
        let route = route.unwrap_or(&call.route);
        let identity = self.identify_key(call.key.or(presented), route);
        let name = identity.account().map(|account| account.name.clone());
        let priority = identity.priority(&call.route);
        let allowed_regions = identity.allowed_regions(route);
        let names = self.header_names;
        let Some(call) = self.calls.get_mut(id) else {
            return false;
        };
        call.account_version = version;
        if identity == CallerIdentity::Refused {
            call.trace.push("the account lost the key".to_owned());
            call.last_answer = None;
            if call.may_have_run {
                self.finish(id, FinalOutcome::Unknown);
            } else {
                self.finish_call(id, own_answer(401, CODE_NO_ACCOUNT, None), "no_account");
            }
            return false;
        }
        if identity != CallerIdentity::NotNeeded && (call.account != name || call.key.is_none()) {
            identity.replace_headers(Rc::make_mut(&mut call.request), names);
            call.key = identity.account().map(|account| account.key);
        }
        call.account = name;
        call.priority = priority;
        call.allowed_regions = allowed_regions;
        true
    }
}

/// Returns the digest of the key that a request presents. A request with several keys presents none,
/// since it cannot be told which of them its caller holds.
fn presented_key(request: &HttpRequest, name: &str) -> Option<KeyDigest> {
    let mut keys = request
        .headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(name));
    let key = keys.next()?;
    keys.next()
        .is_none()
        .then(|| KeyDigest::of(key.value.as_str()))
}
