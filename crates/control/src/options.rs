//! What a control is started with.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use authority::change::Timing;
use authority::lease::term::{Finding, Term, TermConfig};
use fleet::{drain, health, list, member};
use peer::keys::{Pem, Source};

/// Renewals of a lease in its term, as `authority` makes them.
const RENEWALS_PER_TERM: u32 = 3;

/// Largest pause before an append is made anew.
const MAX_APPEND_RETRY: Duration = Duration::from_millis(500);

/// By how much the challengers of one scope differ in their waits.
const STAGGER: Duration = Duration::from_millis(200);

/// Towards the other entries.
#[derive(Clone, Debug)]
pub struct Mesh {
    /// UDP address to listen on.
    pub listen: SocketAddr,
    /// Where the keys come from.
    pub keys: Source,
    /// Time between two looks at the keys.
    pub reload: Duration,
}

/// All that a control needs to know at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Instance id, start and data centre of this process.
    pub local: member::LocalMember,
    /// The log.
    pub log: platform::Options,
    /// The instance list.
    pub instances: platform::Options,
    /// Towards the other entries; `None` if this entry stands alone.
    pub mesh: Option<Mesh>,
    /// The lease on a scope. All processes of a fleet use the same.
    pub term: Term,
    /// Membership of entries.
    pub members: member::Settings,
    /// The guard of the instance list.
    pub list: list::Settings,
    /// Health of upstreams.
    pub health: health::Settings,
    /// Closing of upstreams.
    pub drain: drain::Settings,
    /// Planned changes.
    pub change_timing: Timing,
    /// Claims of idempotency keys.
    pub claims: claims::Limits,
    /// How long the log keeps records.
    pub retention: Duration,
    /// How long a read of the log waits for records. An outage that swallows requests is noticed
    /// this much later.
    pub log_poll_wait: Duration,
    /// Silence of the log after which it counts as out.
    pub log_down_after: Duration,
    /// Time between two readings of the instance list.
    pub list_period: Duration,
    /// Time between two readings of an engine's load report.
    pub report_period: Duration,
    /// Least time between two frames with own work, or demand, that differ.
    pub load_period: Duration,
    /// How long the answer to an edit may take.
    pub edit_timeout: Duration,
}

impl Options {
    /// The usual options of an instance whose platform is at `platform`.
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

    /// The options that the settings of a daemon mean.
    ///
    /// # Errors
    ///
    /// All findings about the lease together.
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

/// The term of the settings. The catalogue's `lease` of a pool is not used: a challenger must wait
/// for the longest lease that any holder may still count on, and a holder that has not read a change
/// of the catalogue yet would count on the old one.
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
