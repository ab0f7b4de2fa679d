//! All processes of the soak test end while one software version gives way to another, and sessions
//! whose streams began at the old one come back before.

use std::{collections, net, time};

use crate::{
    common::{caller, site},
    node_process, soak_run, taken_up_streams,
};

/// Sessions that begin a stream and come back.
const SESSIONS: usize = 8;

/// Time within which all processes know a changed list.
const LIST_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Stream that a session has begun.
struct SessionStream {
    id: String,
    part: String,
    /// What the caller has received before it left.
    begun: String,
}

impl soak_run::SoakRun {
    /// Replaces `v1` by `v2`, ends all processes, and takes up the streams of before; returns the
    /// violations.
    pub async fn replace_version(&mut self) -> Vec<String> {
        self.remove_engines("v2");
        tokio::time::sleep(LIST_TIME).await;
        let streams = self.begin_sessions().await;
        self.list_new_version();
        tokio::time::sleep(LIST_TIME).await;
        for (number, stream) in streams.iter().enumerate() {
            let second = caller::draft(&format!("{}-second", stream.id), 100);
            let second = caller::with_part(&second, &stream.part);
            let _answer = caller::try_send(self.front(number), &second).await;
        }
        self.end_all_processes().await;
        let mut versions = Vec::new();
        for (number, stream) in streams.iter().enumerate() {
            versions.push(self.take_up(self.front(number + 1), stream).await);
        }
        taken_up_streams::mixed_violation(versions.iter())
            .into_iter()
            .collect()
    }

    fn front(&self, number: usize) -> net::SocketAddr {
        site::caller_address(self.processes[number % self.processes.len()].ip)
    }

    async fn begin_sessions(&self) -> Vec<SessionStream> {
        let mut streams = Vec::new();
        for number in 0..SESSIONS {
            let id = format!("replaced-{number}");
            let part = format!("c{number}");
            let request = caller::with_part(&caller::draft(&id, 100), &part);
            let begun = caller::begin_stream(self.front(number), &request).await;
            streams.extend(begun.map(|begun| SessionStream { id, part, begun }));
        }
        streams
    }

    /// Lists the engines of `v2`, which have just started, and those of `v1` as draining.
    fn list_new_version(&self) {
        for engine in self.site.prefills.iter().chain(&self.site.decodes) {
            let is_new = engine.software() == "v2";
            if is_new {
                engine.start_now();
            }
            let state = if is_new { "ready" } else { "draining" };
            self.site.list(engine, site::LLM, state);
        }
    }

    /// Ends all processes, removes `v1`, and starts them again.
    async fn end_all_processes(&mut self) {
        for process in &mut self.processes {
            process.kill();
        }
        self.remove_engines("v1");
        for process in &mut self.processes {
            process.start();
        }
        for process in &self.processes {
            node_process::wait_ready(process.ip).await;
        }
    }

    fn remove_engines(&self, version: &str) {
        let engines = self.site.prefills.iter().chain(&self.site.decodes);
        for engine in engines.filter(|engine| engine.software() == version) {
            self.site.store.remove(&format!("servers/{}", engine.id));
        }
    }

    /// Takes a stream up; returns the versions that its events name.
    async fn take_up(
        &self,
        front: net::SocketAddr,
        stream: &SessionStream,
    ) -> collections::BTreeSet<String> {
        let last = stream.begun.matches("\n\n").count() as u64;
        let next = caller::draft_after(&format!("{}-again", stream.id), &stream.id, last);
        let next = caller::with_part(&next, &stream.part);
        let answer = caller::try_send(front, &next).await;
        let rest = answer.map(|answer| answer.message.text());
        let rest = rest.unwrap_or_default();
        let begun = taken_up_streams::versions(&stream.begun);
        begun.chain(taken_up_streams::versions(&rest)).collect()
    }
}
