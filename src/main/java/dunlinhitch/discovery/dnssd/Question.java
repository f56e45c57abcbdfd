package dunlinhitch.discovery.dnssd;

import org.xbill.DNS.DClass;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;

/** A name and a type of record, of class IN. */
public record Question(Name name, int type) {
  Record record() {
    return Record.newRecord(name, type, DClass.IN);
  }

  @Override
  public String toString() {
    return Type.string(type) + " " + name;
  }
}
