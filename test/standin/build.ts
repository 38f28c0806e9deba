import { pathToFileURL } from 'node:url';
import { resolve } from 'node:path';
import { parseSettings } from '../../src/config/settings.js';
import { Controller } from '../../src/controller.js';
import {
  decodeRequest,
  decodeResponse,
  encodeRequest,
  encodeResponse,
} from '../../src/peer/codec.js';

/** A version of the service: what a world needs of it to run a controller. */
export interface Build {
  readonly Controller: typeof Controller;
  readonly parseSettings: typeof parseSettings;
  readonly decodeRequest: typeof decodeRequest;
  readonly decodeResponse: typeof decodeResponse;
  readonly encodeRequest: typeof encodeRequest;
  readonly encodeResponse: typeof encodeResponse;
}

/** This version. */
export const present: Build = {
  Controller,
  parseSettings,
  decodeRequest,
  decodeResponse,
  encodeRequest,
  encodeResponse,
};

/** Another version, from the folder into which it was compiled. */
export async function loadBuild(folder: string): Promise<Build> {
  const load = async (path: string): Promise<Build> =>
    (await import(pathToFileURL(resolve(folder, path)).href)) as Build;
  const [node, settings, messages] = await Promise.all([
    load('node.js'),
    load('config/settings.js'),
    load('peer/messages.js'),
  ]);
  return { ...messages, Controller: node.Controller, parseSettings: settings.parseSettings };
}
