/** Rewrites addresses in rows, so that each front machine reaches others through links of its own. */

/** An address, and that of the link through which one front machine reaches it. */
interface LinkedAddress {
  readonly real: string;
  readonly link: string;
}

/** The links of one front machine. */
export class AddressView {
  private links: readonly LinkedAddress[] = [];

  add(real: string, link: string): void {
    this.links = [...this.links, { real, link }];
  }

  /** Value of a row as the front machine reads it. */
  toFront(value: string): string {
    return this.links.reduce((text, { real, link }) => text.replaceAll(`"${real}"`, `"${link}"`), value);
  }

  /** Value of a row that the front machine has written, as others read it. */
  fromFront(value: string): string {
    return this.links.reduce((text, { real, link }) => text.replaceAll(`"${link}"`, `"${real}"`), value);
  }
}
