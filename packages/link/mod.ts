/**
 * Use of a VM's network link: which transfer goes next, and which large response
 * is admitted.
 *
 * @module
 */
export {};
