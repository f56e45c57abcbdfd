package dunlinhitch.scoring;

/** An endpoint and a query class: the target of a factor or a merged weight. */
record WeightTarget(String store, String queryClass) {}
