//! Fleets and requests shared by the tests.
#![allow(dead_code)]

use std::time::Duration;

use clock::Moment;
use routing::{
    class::Class,
    pool::Config,
    request::Request,
    router::{Router, Settings},
    upstream::{Health, Role, View},
};
use smallvec::smallvec;

pub(crate) const POOL: &str = "llm-pool";

pub(crate) fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

pub(crate) fn view(id: &str, role: Role) -> View {
    View {
        id: id.into(),
        one_way_latency: Duration::from_micros(500),
        role,
        models: smallvec![],
        open: true,
        health: Health::Up,
        up_since: Moment::ZERO,
    }
}

pub(crate) fn engines(count: usize) -> Vec<View> {
    (0..count)
        .map(|n| view(&format!("engine-{n:04}"), Role::Mixed))
        .collect()
}

pub(crate) fn config() -> Config {
    Config {
        slow_start: Duration::ZERO,
        ..Config::new(POOL)
    }
}

pub(crate) fn request(class: Class, deadline: Moment) -> Request {
    Request {
        pool: POOL.into(),
        subjects: smallvec!["lima".into()],
        class,
        priority: class.rank() as u8,
        model: None,
        prompt_tokens: 500,
        output_tokens: 100,
        prefixes: smallvec![],
        streamed: true,
        deadline,
        repeatable: true,
    }
}

pub(crate) fn router(config: Config, views: Vec<View>) -> Router {
    let mut router = Router::new(Settings::default(), "entry-1", 7);
    router.set_pools(Moment::ZERO, vec![config]);
    router.set_upstreams(Moment::ZERO, POOL, views);
    router
}
