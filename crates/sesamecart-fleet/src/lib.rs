//! A node's view of the fleet, and the decisions that are based on it alone.
//!
//! Nothing here uses a clock or a network. The time is passed as an argument, so that each decision can be
//! simulated and tested separately. docs/design/platform-run.md describes how the parts work together.

mod allowance;
mod catalog;
mod crash_tracker;
mod decay;
mod deferred;
mod demand;
mod directory;
mod dispatch;
mod endpoint;
mod endpoint_backoff;
mod endpoint_limit;
mod fair_share;
mod first_event;
mod forwarding_gate;
mod freshness;
mod helpers;
mod leaving;
mod loads;
mod member_silence;
mod millis;
mod number;
mod planner;
mod reach;
mod renewal_pace;
mod repair;
mod retry_schedule;
mod shared_silence;
mod sources;
mod stall_detector;
mod step_model;
mod store_availability;
mod store_era;
#[cfg(test)]
mod testkit;

pub use allowance::{ColdRateLimit, RetryBudget, RetryLimit};
pub use catalog::{
    Catalog, Customer, Delivery, EngineModel, EngineSpec, Limits, PathRoute, RouteMatch, Service,
    SpecProblem, WeightedService,
};
pub use crash_tracker::{
    AdmittedSuspect, BLOCK_TTL, BlockChange, BlockEnd, BlockedRequest, Clearance, ClearanceCause,
    CrashAdmission, CrashReport, CrashTracker, CrashedRun, DueDecision, EndpointCrash,
    NeighborCheck, RequestOrigin, SharedPart, SuspectKind, SuspectStarts, SuspectedPart, Suspects,
    Suspicion, UncheckedCrash, suspect_endpoint,
};
pub use deferred::Deferred;
pub use demand::{Demand, DemandTracker, ModelDemand, Urgency};
pub use directory::{Directory, GroupKey, GroupView};
pub use dispatch::{
    Assignment, AttemptEnd, DispatchDecision, DispatchRefusal, DispatchRequest, DispatchSetting,
    Dispatcher, HeldRequest, PoolHead, PoolPart, PoolSpec, RefusalCause, Ticket, TicketKey,
    choose_parts, dispatch_order, part_count, part_of, uses_dispatchers,
};
pub use endpoint::{Endpoint, EndpointState, GroupRole, GroupState};
pub use endpoint_backoff::slow_start::SlowStartTicket;
pub use endpoint_backoff::{
    BackoffChange, BackoffRequest, BackoffTracker, MAX_BACKOFF, SendDecision, return_delay,
};
pub use endpoint_limit::{
    AdmissionCounts, AuthorityRanking, KnownLimit, KnownLimits, LimitAuthority, LimitChange,
    LimitObservation, LimitStatus, Permit, PermitRequest,
};
pub use fair_share::FairShare;
pub use first_event::FirstEventTimeouts;
pub use forwarding_gate::ForwardingGate;
pub use freshness::Freshness;
pub use helpers::Helpers;
pub use loads::{Candidate, Choice, LoadReport, LoadTracker, NodeLoad, Unavailable};
pub use member_silence::MemberSilences;
pub use number::{CatalogVersion, FencingToken, GroupEpoch, Incarnation, OrderCount};
pub use planner::{Formation, GroupCapacities, ModelSummary, Planner, PlannerInput, Step};
pub use reach::{Pool, ReachChange, ReachTracker};
pub use renewal_pace::{MAX_LEASE_TTL, RenewalPace};
pub use repair::{GroupHealth, GroupProbes, MemberProbe, evaluate_group, evaluate_silent_group};
pub use retry_schedule::RetrySchedule;
pub use shared_silence::{HeadSilence, SilenceFinding, SilenceReports, silence_limit};
pub use sources::{
    AskOrder, AskTurn, MAX_WATCHED_PEERS, PeerNode, Role, Source, SourcePlan, SourceRotation,
    StoreAsks, peers_to_watch, plan_sources, readers, search_delay, standbys,
};
pub use stall_detector::{StallDetector, StallLimits};
pub use step_model::{StepModel, TokenCounts};
pub use store_availability::{StoreAvailability, StoreReport};
pub use store_era::{StaleEra, StoreEras};
