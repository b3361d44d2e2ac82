//! Threads for work that blocks: started when needed, at most so many, ended when idle.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// How long an idle thread waits for work.
const IDLE: Duration = Duration::from_secs(5);

/// The stack of a thread.
const STACK: usize = 512 * 1024;

/// What the threads of a pool share.
struct Shared<C, J> {
    /// What a job needs besides itself.
    context: C,
    /// What a thread does with a job.
    run: fn(&C, J),
    /// Where threads take jobs from.
    jobs: flume::Receiver<J>,
    /// Threads that run.
    threads: AtomicUsize,
    /// Jobs that were given and are not done.
    open: AtomicUsize,
}

/// A pool of threads that run one kind of job.
pub(crate) struct Pool<C, J> {
    /// The name of its threads.
    name: &'static str,
    /// Threads at most.
    most: usize,
    /// Gives jobs to threads.
    sender: flume::Sender<J>,
    /// What its threads share.
    shared: Arc<Shared<C, J>>,
}

impl<C: Send + Sync + 'static, J: Send + 'static> Pool<C, J> {
    /// A pool without threads.
    pub(crate) fn new(name: &'static str, most: usize, context: C, run: fn(&C, J)) -> Self {
        let (sender, jobs) = flume::unbounded();
        Self {
            name,
            most,
            sender,
            shared: Arc::new(Shared {
                context,
                run,
                jobs,
                threads: AtomicUsize::new(0),
                open: AtomicUsize::new(0),
            }),
        }
    }

    /// Has a thread do a job, as soon as one is free.
    pub(crate) fn give(&self, job: J) {
        let open = self.shared.open.fetch_add(1, Ordering::SeqCst) + 1;
        // The job is in the channel before the threads are counted: a thread that ends looks there once more
        // after it has stopped counting itself.
        let _ = self.sender.send(job);
        let threads = self.shared.threads.load(Ordering::SeqCst);
        if open > threads && threads < self.most {
            self.start();
        }
    }

    fn start(&self) {
        self.shared.threads.fetch_add(1, Ordering::SeqCst);
        let shared = Arc::clone(&self.shared);
        let started = thread::Builder::new()
            .name(self.name.to_owned())
            .stack_size(STACK)
            .spawn(move || shared.work());
        if started.is_err() {
            // The job waits for a thread that is there, or for the next job's try to start one.
            self.shared.threads.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

impl<C, J> Shared<C, J> {
    fn work(&self) {
        loop {
            while let Ok(job) = self.jobs.recv_timeout(IDLE) {
                (self.run)(&self.context, job);
                self.open.fetch_sub(1, Ordering::SeqCst);
            }
            self.threads.fetch_sub(1, Ordering::SeqCst);
            if self.jobs.is_empty() {
                return;
            }
            self.threads.fetch_add(1, Ordering::SeqCst);
        }
    }
}
