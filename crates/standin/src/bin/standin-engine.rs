//! Runs the model engine emulator.

use std::io;

use clap::Parser;
use standin::engine::{self, Engine, Options};
use standin::http;

#[actix_rt::main]
async fn main() -> io::Result<()> {
    http::init_logging();
    let options = Options::parse();
    let listen = options.listen.clone();
    let engine = Engine::new(options);
    actix_rt::spawn(engine.clone().run());
    http::serve(&listen, move |request| {
        engine::handle(engine.clone(), request)
    })
    .await
}
