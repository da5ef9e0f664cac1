//! Options of a control.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use authority::change::Timing;
use authority::lease::term::{Finding, Term, TermConfig};
use fleet::{drain, health, list, member};
use peer::keys::{Pem, Source};

/// Renewals of a lease during its term, as in `authority`.
const RENEWALS_PER_TERM: u32 = 3;

/// Maximum wait before an append is repeated.
const MAX_APPEND_RETRY: Duration = Duration::from_millis(500);

/// Difference between the waits of two challengers of a scope.
const STAGGER: Duration = Duration::from_millis(200);

/// Options of the mesh between entries.
#[derive(Clone, Debug)]
pub struct Mesh {
    /// UDP address to listen on.
    pub listen: SocketAddr,
    /// Sources of the keys.
    pub keys: Source,
    /// Interval at which the keys are checked for changes; zero turns the checks off.
    pub reload: Duration,
}

/// Options of a control.
#[derive(Clone, Debug)]
pub struct Options {
    /// Instance id, incarnation and data centre of this process.
    pub local: member::LocalMember,
    /// Connection to the log.
    pub log: platform::Options,
    /// Connection to the instance list.
    pub instances: platform::Options,
    /// The mesh; `None` if this is the only entry.
    pub mesh: Option<Mesh>,
    /// Timing of the lease on a scope, which must be the same for all processes of a fleet.
    pub term: Term,
    /// Membership of entries.
    pub members: member::Settings,
    /// Acceptance of readings of the instance list.
    pub list: list::Settings,
    /// Health of upstreams.
    pub health: health::Settings,
    /// Draining of upstreams.
    pub drain: drain::Settings,
    /// Timing of planned changes.
    pub change_timing: Timing,
    /// Claims of idempotency keys.
    pub claims: claims::Limits,
    /// Retention period of the log.
    pub retention: Duration,
    /// How long a read of the log waits for records. It delays the detection of an outage in which
    /// requests are not answered.
    pub log_poll_wait: Duration,
    /// Silence after a failed read for which the log counts as down.
    pub log_down_after: Duration,
    /// Interval between readings of the instance list.
    pub list_period: Duration,
    /// Interval between readings of the load report of an engine.
    pub report_period: Duration,
    /// Minimum time between two different frames with outstanding work or with demand.
    pub load_period: Duration,
    /// Time limit for the answer to an edit.
    pub edit_timeout: Duration,
}

impl Options {
    /// The default options of an instance with this address of the platform.
    pub fn new(local: member::LocalMember, platform: SocketAddr, term: Term) -> Self {
        let platform = platform::Options::new(format!("http://{platform}"));
        Self {
            local,
            log: platform.clone(),
            instances: platform,
            mesh: None,
            term,
            members: member::Settings::default(),
            list: list::Settings::default(),
            health: health::Settings::default(),
            drain: drain::Settings::default(),
            change_timing: Timing::default(),
            claims: claims::Limits::default(),
            retention: Duration::from_secs(3600),
            log_poll_wait: Duration::from_secs(1),
            log_down_after: Duration::from_secs(1),
            list_period: Duration::from_secs(1),
            report_period: Duration::from_secs(1),
            load_period: Duration::from_millis(500),
            edit_timeout: Duration::from_secs(10),
        }
    }

    /// The options for the settings of a daemon.
    ///
    /// # Errors
    ///
    /// All findings about the lease.
    pub fn from_settings(
        settings: &settings::Settings,
        incarnation: u64,
    ) -> Result<Self, Vec<Finding>> {
        let own = member::LocalMember {
            id: settings.instance.id.clone(),
            incarnation,
            data_centre: settings.instance.data_centre.clone(),
        };
        let mut options = Self::new(own, settings.platform.log, term(&settings.lease)?);
        options.log.append_timeout = settings.platform.timeout;
        options.instances =
            platform::Options::new(format!("http://{}", settings.platform.instances));
        options.mesh = settings.peer.tls.as_ref().map(|tls| Mesh {
            listen: settings.peer.address,
            keys: Source {
                ca: pem(&tls.authority),
                cert: pem(&tls.certificate),
                key: pem(&tls.key),
            },
            reload: settings.peer.reload,
        });
        options.members.heartbeat_interval = settings.peer.heartbeat;
        options.members.suspect_after = settings.peer.silence;
        options.retention = settings.platform.retention;
        options.list_period = settings.platform.poll;
        Ok(options)
    }
}

fn pem(path: &Path) -> Pem {
    Pem::Path(path.to_owned())
}

/// The term by the settings. The `lease` of a pool in the catalogue is not used: a challenger must
/// wait for the longest lease that a holder may rely on, and a holder that has not read a change of
/// the catalogue yet would rely on the old one.
fn term(lease: &settings::sections::Lease) -> Result<Term, Vec<Finding>> {
    let figures = TermConfig {
        lease: lease.term,
        margin: lease.margin,
        stagger: STAGGER,
        retry: (lease.term / RENEWALS_PER_TERM / 2).min(MAX_APPEND_RETRY),
        ..TermConfig::default()
    };
    Term::try_from(figures)
}
