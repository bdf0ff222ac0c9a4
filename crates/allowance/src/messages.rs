//! Messages between spenders and holders.

use serde::Deserialize;
use serde::Serialize;

use crate::AllowanceKey;
use crate::Incarnation;
use crate::slots::SlotSet;

/// Message of a spender to the holder of some slots. One without items keeps up the support for
/// the holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Process of the spender.
    pub incarnation: Incarnation,
    /// Time of sending on the spender's clock, in microseconds; echoed in the reply.
    pub sent_us: u64,
    /// Slots for which the spender supports the receiver as their only holder.
    pub supports: SlotSet,
    /// Process of the receiver and time on its clock, in microseconds, of the latest reply that
    /// the spender has got.
    pub echo: Option<(Incarnation, u64)>,
    /// Shares of the spender in the allowances of `registers`.
    pub shares: Vec<ShareEntry>,
    /// Slots of which `shares` holds all shares of the spender.
    pub registers: SlotSet,
    /// Requested tokens.
    pub items: Vec<AskItem>,
}

/// Share of a spender in an allowance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareEntry {
    /// Allowance.
    pub key: AllowanceKey,
    /// Rate in tokens per 1000 seconds.
    pub milli_per_s: u64,
}

/// Request for tokens of an allowance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskItem {
    /// Allowance.
    pub key: AllowanceKey,
    /// Number of tokens.
    pub wanted: u32,
    /// Rate at which the spender has recently spent tokens, in tokens per 1000 seconds.
    pub spent_milli_per_s: u64,
    /// The spender's share, in tokens per 1000 seconds.
    pub share_milli_per_s: u64,
    /// Number of the offer that the share follows from; 0 if the receiver has offered none.
    pub offer: u32,
}

/// Reply of a holder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Process of the holder.
    pub incarnation: Incarnation,
    /// Time of the reply on the holder's clock, in microseconds.
    pub stamp_us: u64,
    /// Time of the message that this replies to on the spender's clock, in microseconds.
    pub echo_us: u64,
    /// Slots that the holder does not hold. It counts no earlier support for them any more.
    pub released: SlotSet,
    /// Slots of which the spender has to register its shares.
    pub unregistered: SlotSet,
    /// Granted tokens.
    pub items: Vec<GrantItem>,
}

/// Tokens of an allowance that are granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantItem {
    /// Allowance.
    pub key: AllowanceKey,
    /// Number of tokens. They expire one lifetime after the sending of the request.
    pub tokens: u32,
    /// Time until the next token is expected, in milliseconds, if fewer than requested were granted.
    pub retry_after_ms: u32,
    /// Share that the spender may use on its own for [`crate::slots::SHARE_TIME`] after the
    /// sending of the request, in tokens per 1000 seconds; `None` if the share stays as it is and
    /// is not prolonged.
    pub share_milli_per_s: Option<u64>,
    /// Number of this offer of a share.
    pub offer: u32,
}
