/** The wire formats of topazpin, for its own modules and for clients. */
export * from './codec.js';
export * from './user.js';
export * from './worker.js';
export * from './cloud.js';
export * from './store.js';
