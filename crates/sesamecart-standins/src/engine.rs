//! A model engine that batches continuously and misbehaves on command.

mod answer;
mod cache;
mod config;
mod orders;
mod state;
mod stream;
mod warmth;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use sesamecart_vocabulary::{Generation, Incarnation};

use crate::body::{self, Body};
use crate::server::{Connection, Cut, Handler, Server};
use state::State;

pub use answer::{answer_text, answer_token, prompt_of};
pub use config::{EngineConfig, EngineFaults, EngineSpeed};
pub use orders::AppliedOrder;
pub use state::EngineCounts;

/// An engine on loopback.
#[derive(Debug)]
pub struct Engine {
    state: Arc<State>,
    server: Server,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port or thread can be had.
    pub fn start(config: EngineConfig) -> io::Result<Self> {
        let state = Arc::new(State::new(config));
        let front = Arc::new(Front(Arc::clone(&state)));
        let server = Server::start("engine", front)?;
        Ok(Self { state, server })
    }

    /// Returns the address that it listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults from now on.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state.faults.set(faults);
    }

    /// Makes the engine cold without a word: it bears its cold limit only, until warm again.
    pub fn turn_cold(&self) {
        self.state.turn_cold();
    }

    /// Pauses or resumes the engine; a paused one takes connections and does nothing.
    pub fn pause(&self, paused: bool) {
        self.state.pause(paused);
    }

    /// Ends the engine's process: every stream breaks and connections are refused.
    pub fn crash(&self) {
        self.server.crash();
    }

    /// Closes every connection, but takes new ones.
    pub fn disconnect(&self) {
        self.server.disconnect();
    }

    /// Starts the process again after a crash: cold, and in a new incarnation.
    pub fn revive(&self) {
        self.state.restart();
        self.server.listen();
    }

    /// Sets the generation that the engine's group runs in.
    pub fn set_generation(&self, generation: Generation) {
        self.state.set_generation(generation);
    }

    /// Says whether the engine calls itself ready.
    pub fn set_ready(&self, ready: bool) {
        self.state.set_ready(ready);
    }

    /// Returns the current incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.state.incarnation()
    }

    /// Returns what it has counted.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.state.counts()
    }

    /// Returns the orders that it has carried out, the oldest first.
    #[must_use]
    pub fn orders(&self) -> Vec<AppliedOrder> {
        self.state.orders.applied()
    }

    /// Closes every connection and ends the thread.
    pub fn stop(self) {}
}

/// What answers an engine's requests.
struct Front(Arc<State>);

impl Handler for Front {
    async fn answer(
        &self,
        req: Request<Incoming>,
        _connection: Connection,
    ) -> Result<Response<Body>, Cut> {
        let state = &self.0;
        state.wait_while_paused().await;
        if state.has_fallen() {
            return Err(Cut);
        }
        let query = req.uri().query();
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                stream::complete(state, req).await
            }
            (&Method::GET, "/load") => Ok(body::json(StatusCode::OK, &state.lagging_load())),
            (&Method::GET, "/cache_events") => Ok(state.cache_events(query)),
            (&Method::POST, "/orders") => {
                let bytes = body::read(req.into_body()).await?;
                Ok(state.order(&body::parse(&bytes)).await)
            }
            (&Method::GET, "/v1/models") => Ok(body::json(
                StatusCode::OK,
                &json!({ "object": "list", "data": [] }),
            )),
            _ => Ok(body::error(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}
